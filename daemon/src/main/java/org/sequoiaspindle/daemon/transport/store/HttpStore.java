package org.sequoiaspindle.daemon.transport.store;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletionStage;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;
import org.sequoiaspindle.core.protocol.store.StoreValue;
import org.sequoiaspindle.daemon.protocol.store.PlatformResponseReader;

/** The platform's key-value service over HTTP. */
public final class HttpStore implements Store, AutoCloseable {

    private static final long CALL_TIMEOUT_MS = 1000;

    /**
     * Added to the wait time of a watch. If the response takes longer, the connection is considered
     * silent.
     */
    private static final long WATCH_TIMEOUT_MARGIN_MS = 1000;

    private static final String VERSION_HEADER = "Sequoia-Version";
    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;

    private final PlatformHttpClient client;

    /**
     * Creates a store adapter without opening connections.
     *
     * @param address {@code ip:port} of the platform
     */
    public HttpStore(String address) {
        this.client = new PlatformHttpClient(address);
    }

    @Override
    public CompletionStage<StoreResult> execute(StoreCommand command) {
        long timeoutMillis =
                command instanceof StoreCommand.AwaitChange watch
                        ? watch.waitMillis() + WATCH_TIMEOUT_MARGIN_MS
                        : CALL_TIMEOUT_MS;
        return client.exchange(request(command), timeoutMillis)
                .thenApply(
                        responseOrError ->
                                responseOrError.fold(
                                        StoreResult.Unavailable::new,
                                        response -> result(command, response)));
    }

    @Override
    public void close() {
        client.close();
    }

    private static HttpRequest<?> request(StoreCommand command) {
        if (command instanceof StoreCommand.Read read) {
            return HttpRequest.GET(keyPath(read.key()));
        }
        if (command instanceof StoreCommand.CompareAndSwap write) {
            String lease = write.lease() == StoreCommand.NO_LEASE ? "" : "&lease=" + write.lease();
            return HttpRequest.PUT(
                            keyPath(write.key()) + "?ifVersion=" + write.expectedVersion() + lease,
                            write.value().bytes())
                    .contentType(MediaType.APPLICATION_OCTET_STREAM_TYPE);
        }
        if (command instanceof StoreCommand.Delete delete) {
            return HttpRequest.DELETE(
                    keyPath(delete.key()) + "?ifVersion=" + delete.expectedVersion());
        }
        if (command instanceof StoreCommand.CreateLease lease) {
            return HttpRequest.POST("/v1/leases?ttlMs=" + lease.ttlMillis(), new byte[0])
                    .contentType(MediaType.APPLICATION_OCTET_STREAM_TYPE);
        }
        StoreCommand.AwaitChange watch = (StoreCommand.AwaitChange) command;
        return HttpRequest.GET(
                "/v1/watch/"
                        + encodeKey(watch.key())
                        + "?afterVersion="
                        + watch.afterVersion()
                        + "&waitMs="
                        + watch.waitMillis());
    }

    private static StoreResult result(StoreCommand command, HttpResponse<byte[]> response) {
        int status = response.code();
        Option<Long> version =
                Option.of(response.getHeaders().get(VERSION_HEADER))
                        .flatMap(text -> Try.of(() -> Long.parseLong(text)).toOption());
        if (command instanceof StoreCommand.CompareAndSwap
                || command instanceof StoreCommand.Delete) {
            return writeResult(status, version, command instanceof StoreCommand.Delete);
        }
        byte[] body = response.getBody().orElse(new byte[0]);
        if (command instanceof StoreCommand.CreateLease) {
            return Option.when(status == OK, body)
                    .flatMap(PlatformResponseReader::readLeaseId)
                    .<StoreResult>map(StoreResult.LeaseCreated::new)
                    .getOrElse(() -> unexpectedStatus(status));
        }
        if (status == OK && version.isDefined()) {
            return new StoreResult.Found(StoreValue.of(body), version.get());
        }
        if (status == NO_CONTENT && command instanceof StoreCommand.AwaitChange) {
            return new StoreResult.Unchanged();
        }
        return status == NOT_FOUND && command instanceof StoreCommand.Read
                ? new StoreResult.Missing()
                : unexpectedStatus(status);
    }

    /**
     * Returns the result of a write or a deletion. The response to a deletion contains no version,
     * and the response to a conflict may lack the current version.
     */
    private static StoreResult writeResult(int status, Option<Long> version, boolean isDeletion) {
        if (status == OK && (isDeletion || version.isDefined())) {
            return new StoreResult.Swapped(version.getOrElse(StoreCommand.ABSENT));
        }
        return status == CONFLICT
                ? new StoreResult.Conflict(version.getOrElse(StoreCommand.ABSENT))
                : unexpectedStatus(status);
    }

    private static StoreResult unexpectedStatus(int status) {
        return new StoreResult.Unavailable("unusable response with status " + status);
    }

    private static String keyPath(String key) {
        return "/v1/kv/" + encodeKey(key);
    }

    /** Percent-encodes a key except for its slashes, which separate the parts of the key. */
    private static String encodeKey(String key) {
        return URLEncoder.encode(key, StandardCharsets.UTF_8)
                .replace("+", "%20")
                .replace("%2F", "/");
    }
}
