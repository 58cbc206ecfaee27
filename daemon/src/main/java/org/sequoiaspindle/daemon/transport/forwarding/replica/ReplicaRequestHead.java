package org.sequoiaspindle.daemon.transport.forwarding.replica;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import org.sequoiaspindle.core.protocol.forwarding.ReplicaRequestContext;
import org.sequoiaspindle.core.state.forwarding.ApiKeyOwner;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ForwardingContext;

/** Creates the head with which a client's request is sent to a replica. */
final class ReplicaRequestHead {

    private static final int MAX_URGENCY = 9;

    private ReplicaRequestHead() {}

    static HttpRequest of(ForwardingContext context, AttemptOwner owner, Replica replica) {
        HttpRequest original = owner.request().head();
        HttpHeaders fields =
                HeaderFilter.copyEndToEnd(original.headers(), context.dialect().reservedFields());
        int length = owner.request().body().readableBytes();
        if (length > 0 || original.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            fields.set(HttpHeaderNames.CONTENT_LENGTH, length);
        }
        context.dialect().replicaRequestWriter().write(requestContext(owner, replica), fields::set);
        return new DefaultHttpRequest(
                HttpVersion.HTTP_1_1, original.method(), original.uri(), fields);
    }

    private static ReplicaRequestContext requestContext(AttemptOwner owner, Replica replica) {
        boolean isGeneration = owner.admission().route().sticky();
        return new ReplicaRequestContext(
                replica,
                Math.max(1, owner.millisLeft()),
                owner.admission().keyOwner().map(ApiKeyOwner::organisation),
                isGeneration
                        ? Optional.of(Math.min(MAX_URGENCY, owner.admission().priority()))
                        : Optional.empty(),
                owner.inputHandles(),
                Optional.empty());
    }
}
