package org.sequoiaspindle.core.protocol.forwarding;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sequoiaspindle.core.coordination.forwarding.piece.Piece;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.core.state.forwarding.Replica;

/** Encoding of the calls that execute pieces and release results. Stateless. */
public interface StageCodec {

    /** Returns the path of the call that executes pieces. */
    String executePath();

    /** Returns the path of the call that releases results. */
    String releasePath();

    /** Returns the header fields that make any other replica at the address reject the call. */
    Map<String, String> headerFields(Replica replica);

    /**
     * Encodes the body of the call that executes pieces.
     *
     * @param now current time in milliseconds, on the same clock as the pieces' times
     */
    byte[] encodeExecute(List<Piece> pieces, long now);

    /**
     * Decodes the results, in the order of the pieces.
     *
     * @return the results, or a description of the error
     */
    Either<String, List<PieceResult>> decodeResults(byte[] body, int pieces);

    /** Encodes the body of the call that releases results. */
    byte[] encodeRelease(List<String> handles);

    /**
     * Returns the address of the replica that stores a result, or empty if the handle contains no
     * address.
     */
    Optional<HostPort> replicaAddress(String handle);
}
