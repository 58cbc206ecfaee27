package org.sequoiaspindle.daemon.transport.store;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;
import org.sequoiaspindle.core.protocol.peer.InstanceList;
import org.sequoiaspindle.core.protocol.peer.InstanceListEntry;
import org.sequoiaspindle.daemon.protocol.store.PlatformResponseReader;

/** Reads the platform's instance list over HTTP. */
public final class HttpInstanceList implements InstanceList, AutoCloseable {

    private static final long CALL_TIMEOUT_MS = 1000;

    private final PlatformHttpClient client;

    /**
     * Creates a reader without opening connections.
     *
     * @param address {@code ip:port} of the platform
     */
    public HttpInstanceList(String address) {
        this.client = new PlatformHttpClient(address);
    }

    @Override
    public CompletionStage<Either<String, Vector<InstanceListEntry>>> fetch() {
        return client.exchange(HttpRequest.GET("/v1/instances"), CALL_TIMEOUT_MS)
                .thenApply(responseOrError -> responseOrError.flatMap(HttpInstanceList::read));
    }

    @Override
    public void close() {
        client.close();
    }

    private static Either<String, Vector<InstanceListEntry>> read(HttpResponse<byte[]> response) {
        return response.code() == 200
                ? PlatformResponseReader.readInstances(response.getBody().orElse(new byte[0]))
                : Either.left("status " + response.code());
    }
}
