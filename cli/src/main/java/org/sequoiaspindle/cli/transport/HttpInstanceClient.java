package org.sequoiaspindle.cli.transport;

import io.micronaut.core.io.buffer.ByteArrayBufferFactory;
import io.micronaut.http.ByteBodyHttpResponse;
import io.micronaut.http.HttpMethod;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpRequest;
import io.micronaut.http.body.CloseableByteBody;
import io.micronaut.http.body.stream.AvailableByteArrayBody;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClientConfiguration;
import io.micronaut.http.client.RawHttpClient;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.sequoiaspindle.cli.protocol.InstanceCallResult;
import org.sequoiaspindle.cli.protocol.InstanceCallResult.CompleteResponse;
import org.sequoiaspindle.cli.protocol.InstanceCallResult.ConnectionLost;
import org.sequoiaspindle.cli.protocol.InstanceCallResult.NotConnected;
import org.sequoiaspindle.cli.protocol.InstanceClient;
import org.sequoiaspindle.cli.protocol.InstanceRequest;

/** Calls instances over HTTP/1.1 with the Micronaut client, without an application context. */
final class HttpInstanceClient implements InstanceClient {

    /**
     * Allows a lost SYN packet to be retransmitted, after 1 s; connecting takes a few milliseconds.
     */
    private static final Duration MAX_CONNECT_TIMEOUT = Duration.ofSeconds(3);

    private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;

    private final Duration readTimeout;

    HttpInstanceClient(int readTimeoutMs) {
        this.readTimeout = Duration.ofMillis(readTimeoutMs);
    }

    @Override
    public InstanceCallResult call(
            String instance, InstanceRequest request, Consumer<byte[]> eventBytes) {
        URI uri = URI.create("http://" + instance + request.path());
        try (RawHttpClient client = RawHttpClient.create(uri, createConfiguration())) {
            return PublisherFutures.<HttpResponse<?>>firstItem(
                            client.exchange(toHttpRequest(uri, request), encodeBody(request), null))
                    .thenCompose(response -> readResponse(instance, response, eventBytes))
                    .join();
        } catch (IOException | RuntimeException e) {
            return isConnectionFailure(e)
                    ? new NotConnected(instance, rootCauseMessage(e))
                    : new ConnectionLost(instance, rootCauseMessage(e));
        }
    }

    private HttpClientConfiguration createConfiguration() {
        HttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
        configuration.setConnectTimeout(
                readTimeout.compareTo(MAX_CONNECT_TIMEOUT) < 0 ? readTimeout : MAX_CONNECT_TIMEOUT);
        configuration.setReadTimeout(readTimeout);
        configuration.setExceptionOnErrorStatus(false);
        configuration.setFollowRedirects(false);
        return configuration;
    }

    private static MutableHttpRequest<?> toHttpRequest(URI uri, InstanceRequest request) {
        MutableHttpRequest<Object> httpRequest =
                HttpRequest.create(HttpMethod.valueOf(request.method()), uri.toString());
        httpRequest.header("Authorization", request.credential().authorization());
        request.headers().forEach(httpRequest::header);
        if (!request.body().isEmpty()) {
            httpRequest.contentType(MediaType.APPLICATION_JSON_TYPE);
        }
        return httpRequest;
    }

    private static CloseableByteBody encodeBody(InstanceRequest request) {
        return AvailableByteArrayBody.create(
                ByteArrayBufferFactory.INSTANCE, request.body().getBytes(StandardCharsets.UTF_8));
    }

    private static CompletableFuture<InstanceCallResult> readResponse(
            String instance, HttpResponse<?> response, Consumer<byte[]> eventBytes) {
        boolean eventStream =
                response.getContentType()
                        .filter(type -> type.matches(MediaType.TEXT_EVENT_STREAM_TYPE))
                        .isPresent();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        Consumer<byte[]> chunkConsumer = eventStream ? eventBytes : chunk -> append(body, chunk);
        return PublisherFutures.forEach(
                        ((ByteBodyHttpResponse<?>) response).byteBody().toByteArrayPublisher(),
                        chunkConsumer)
                .thenApply(
                        done ->
                                new CompleteResponse(
                                        instance,
                                        response.code(),
                                        eventStream,
                                        body.toString(StandardCharsets.UTF_8)));
    }

    private static void append(ByteArrayOutputStream body, byte[] chunk) {
        if (body.size() + chunk.length > MAX_BODY_BYTES) {
            throw new IllegalStateException("response exceeds " + MAX_BODY_BYTES + " bytes");
        }
        body.writeBytes(chunk);
    }

    private static boolean isConnectionFailure(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof ConnectException || cause instanceof NoRouteToHostException) {
                return true;
            }
        }
        return false;
    }

    private static String rootCauseMessage(Throwable failure) {
        Throwable rootCause = failure;
        while (rootCause.getCause() != null) {
            rootCause = rootCause.getCause();
        }
        return rootCause.getMessage() == null
                ? rootCause.getClass().getSimpleName()
                : rootCause.getMessage();
    }
}
