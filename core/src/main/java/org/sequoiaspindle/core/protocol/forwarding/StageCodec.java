package org.sequoiaspindle.core.protocol.forwarding;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sequoiaspindle.core.coordination.forwarding.Piece;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.core.state.forwarding.Replica;

/** Encoding of the calls that make pieces and give up results. Stateless. */
public interface StageCodec {

    /** Path of the call that makes pieces. */
    String executePath();

    /** Path of the call that gives up results. */
    String releasePath();

    /** Fields of the head of a call that only this replica is to accept. */
    Map<String, String> headerFields(Replica replica);

    /**
     * Body of the call that makes pieces.
     *
     * @param now time in milliseconds of the clock that the pieces' times refer to
     */
    byte[] encodeExecute(List<Piece> pieces, long now);

    /** Results in the order of the pieces, or why the body cannot be read. */
    Either<String, List<PieceResult>> decodeResults(byte[] body, int pieces);

    /** Body of the call that gives up results. */
    byte[] encodeRelease(List<String> handles);

    /** Replica that holds a result; empty if the handle does not say. */
    Optional<HostPort> replicaAddress(String handle);
}
