package org.sequoiaspindle.standins.transport;

import java.util.Map;
import org.sequoiaspindle.standins.state.EndpointFault;
import org.sequoiaspindle.standins.state.SlotUsage;

/** A running endpoint stand-in. */
public interface EndpointServer extends StandinServer {

    /** Sets the current fault. */
    void fault(EndpointFault fault);

    /** Sets the {@code leaving} flag of the answers. */
    void leaving(boolean value);

    /** Counts by name: started, completed, cancelled, refused, busyMs. */
    Map<String, Long> stats();

    /** The current load, without the reporting delay. */
    SlotUsage load();
}
