package org.sequoiaspindle.core.protocol.peer;

import io.vavr.collection.Map;
import java.util.function.Supplier;
import org.sequoiaspindle.core.coordination.membership.GroupLoad;
import org.sequoiaspindle.core.coordination.membership.PeerState;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCaller;
import org.sequoiaspindle.core.protocol.publication.HeadReceiver;
import org.sequoiaspindle.core.protocol.publication.HeldConfiguration;

/**
 * The rest of the instance, as the conversation with its peers sees it. The suppliers are called
 * about every second and per message; they must not block.
 *
 * @param list the platform's list of instances
 * @param held configuration in force, served to peers
 * @param heads takes heads that peers announce
 * @param calls runs forwarded calls on the endpoints of this data centre; the endpoint of the call
 *     names the endpoint group, and the call must not be forwarded again
 * @param state readiness of this instance
 * @param load load by endpoint group
 */
public record PeerDuties(
        InstanceList list,
        Supplier<HeldConfiguration> held,
        HeadReceiver heads,
        EndpointCaller calls,
        Supplier<PeerState> state,
        Supplier<Map<String, GroupLoad>> load) {

    long generation() {
        return held.get().head().map(head -> head.generation()).getOrElse(0L);
    }
}
