package org.sequoiaspindle.standins.transport;

import java.util.Map;
import org.sequoiaspindle.standins.state.EndpointFault;
import org.sequoiaspindle.standins.state.SlotUsage;

/** A running endpoint stand-in. */
public interface EndpointServer extends StandinServer {

    /** Sets the current fault. */
    void setFault(EndpointFault fault);

    /** Sets the {@code leaving} flag of the responses. */
    void setLeaving(boolean value);

    /** Returns the counts by name: started, completed, cancelled, refused, busyMs. */
    Map<String, Long> counters();

    /** Returns the current load, without the reporting delay. */
    SlotUsage load();
}
