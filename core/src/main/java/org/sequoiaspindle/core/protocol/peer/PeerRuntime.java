package org.sequoiaspindle.core.protocol.peer;

import java.util.function.LongUnaryOperator;
import java.util.function.Supplier;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.common.Timer;

/**
 * Facilities that the conversation between instances runs on.
 *
 * @param clock monotonic clock
 * @param random gives a random number from 0 up to the argument, exclusive; used for jitter
 * @param nonces gives random text from a cryptographic source, 32 hexadecimal digits
 */
public record PeerRuntime(
        PeerTransport transport,
        MillisClock clock,
        Timer timer,
        LongUnaryOperator random,
        Supplier<String> nonces,
        EventLog log) {}
