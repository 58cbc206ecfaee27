package org.sequoiaspindle.daemon.transport.frame;

import io.vavr.control.Either;
import java.util.function.Function;

/**
 * Format of the frames on a connection between instances.
 *
 * @param decoder returns a message, or a description of the error in a malformed frame
 * @param maxFrameBytes longest frame, in bytes; a longer one closes the connection
 */
public record FrameFormat<M>(
        Function<M, byte[]> encoder,
        Function<byte[], Either<String, M>> decoder,
        int maxFrameBytes) {}
