package org.sequoiaspindle.daemon.transport;

import io.micronaut.http.ServerHttpRequest;
import io.vavr.control.Option;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.CompletionStage;
import reactor.core.publisher.Flux;

/** Reads whole request bodies up to a maximum size without blocking. */
public final class RequestBodyReader {

    private RequestBodyReader() {}

    /**
     * Reads the body. The rest of a body that is too large is discarded. The future fails if the
     * connection fails.
     *
     * @return the body, none if it is larger than {@code maxBytes}
     */
    public static CompletionStage<Option<byte[]>> read(ServerHttpRequest<?> request, int maxBytes) {
        return Flux.from(request.byteBody().toByteArrayPublisher())
                .scanWith(Body::new, (body, chunk) -> body.append(chunk, maxBytes))
                .takeUntil(body -> body.isTooLarge)
                .last()
                .map(Body::bytes)
                .toFuture();
    }

    /** Bytes read so far. Not thread-safe; each subscription creates a new object. */
    private static final class Body {

        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        private boolean isTooLarge;

        private Body append(byte[] chunk, int maxBytes) {
            isTooLarge = bytes.size() + chunk.length > maxBytes;
            if (!isTooLarge) {
                bytes.write(chunk, 0, chunk.length);
            }
            return this;
        }

        private Option<byte[]> bytes() {
            return Option.when(!isTooLarge, bytes::toByteArray);
        }
    }
}
