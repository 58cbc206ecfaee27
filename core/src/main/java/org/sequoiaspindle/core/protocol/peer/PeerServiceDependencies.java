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
 * @param instanceList instance list of the platform
 * @param activeConfiguration active configuration, served to peers
 * @param headReceiver receives heads that peers announce
 * @param localCaller runs forwarded calls on endpoints of this data centre; the endpoint field of
 *     the call holds the name of the endpoint group, and the call must not be forwarded again
 * @param state state of this instance
 * @param load current load by endpoint group
 */
public record PeerServiceDependencies(
        InstanceList instanceList,
        Supplier<ActiveConfiguration> activeConfiguration,
        HeadReceiver headReceiver,
        EndpointCaller localCaller,
        Supplier<PeerState> state,
        Supplier<Map<String, GroupLoad>> load) {

    long generation() {
        return activeConfiguration.get().head().map(head -> head.generation()).getOrElse(0L);
    }
}
