package org.sequoiaspindle.core.protocol.peer;

import io.vavr.collection.Map;
import java.util.function.Supplier;
import org.sequoiaspindle.core.coordination.membership.GroupLoad;
import org.sequoiaspindle.core.coordination.membership.PeerState;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCaller;
import org.sequoiaspindle.core.protocol.publication.ActiveConfiguration;
import org.sequoiaspindle.core.protocol.publication.HeadReceiver;

/**
 * Parts of this instance that communication with peers depends on. The suppliers are called about
 * once a second and for each message, so they must not block.
 *
 * @param list instance list of the platform
 * @param held configuration in force, served to peers
 * @param heads receives heads that peers announce
 * @param calls runs forwarded calls on endpoints of this data centre; the endpoint field of the
 *     call holds the name of the endpoint group, and the call must not be forwarded again
 * @param state readiness of this instance
 * @param load current load by endpoint group
 */
public record PeerServiceDependencies(
        InstanceList list,
        Supplier<ActiveConfiguration> held,
        HeadReceiver heads,
        EndpointCaller calls,
        Supplier<PeerState> state,
        Supplier<Map<String, GroupLoad>> load) {

    long generation() {
        return held.get().head().map(head -> head.generation()).getOrElse(0L);
    }
}
