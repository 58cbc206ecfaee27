package org.sequoiaspindle.standins.transport;

import java.util.Map;
import org.sequoiaspindle.standins.state.EndpointFault;
import org.sequoiaspindle.standins.state.LoadReport;

/** A running endpoint stand-in. */
public interface EndpointServer extends Server {

    /** Sets the fault in force. */
    void fault(EndpointFault fault);

    /** Sets the leaving flag that answers carry. */
    void leaving(boolean value);

    /** Counts: started, completed, cancelled, refused, busyMs. */
    Map<String, Long> stats();

    /** The present load, without lag. */
    LoadReport load();
}
