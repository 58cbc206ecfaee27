package org.sequoiaspindle.daemon.transport.forwarding.replica;

import java.util.List;
import org.sequoiaspindle.core.coordination.forwarding.admission.Admission;
import org.sequoiaspindle.core.coordination.forwarding.admission.AttemptResult;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.daemon.transport.forwarding.shared.BufferedResponse;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ClientExchange;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ClientRequest;
import org.sequoiaspindle.daemon.transport.http.OutboundConnection;

/** The request that an attempt belongs to, which supplies its contents and takes its outcome. */
public interface AttemptOwner {

    ClientExchange client();

    ClientRequest request();

    Admission.Admitted admission();

    /** Returns the handles of the results that the request takes as its inputs. */
    List<String> inputHandles();

    /** Returns the time until the deadline of the request, in milliseconds. */
    long millisLeft();

    /** Counts an attempt whose request is about to be sent on the connection. */
    void recordSend(OutboundConnection connection);

    /** Releases the stage results, which the request does not need any more. */
    void releaseInputs();

    /** Records the time at which the first bytes are passed to the client. */
    void firstBytesReceived();

    /**
     * Handles the end of an attempt whose request was not sent, because the replica was closed or a
     * permit expired meanwhile. Does not count as a failed attempt.
     */
    void attemptWithdrawn(Replica replica);

    /** Handles the end of an attempt for which no response to the client has started. */
    void attemptFinished(
            Replica replica, AttemptResult result, BufferedResponse response, String reason);

    /** Handles the end of a started response. */
    void streamCompleted(int status);

    /** Handles the failure of a started response. */
    void streamBroken(Replica replica, int status, String reason);
}
