package org.sequoiaspindle.standins.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.sequoiaspindle.standins.StandinClient.send;
import static org.sequoiaspindle.standins.StandinClient.start;
import static org.sequoiaspindle.standins.StandinClient.version;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.standins.Await;
import org.sequoiaspindle.standins.state.PlatformFault;

/** Guards against responses and simulated faults that differ from the platform protocol. */
final class PlatformServerTest {

    private static final String HEAD = "/v1/kv/config/head";
    private static final String LONG_WATCH = "/v1/watch/config/head?waitMs=600000&afterVersion=";

    private final PlatformServer platform = PlatformServer.start();

    @AfterEach
    void close() {
        platform.close();
    }

    @Test
    void versionsIncreaseAcrossDeletionAndAConflictReportsTheActualVersion() {
        long first = version(put("one", 0));
        HttpResponse<String> conflict = put("two", 0);
        assertEquals(409, conflict.statusCode());
        assertEquals(first, version(conflict));
        assertEquals(
                200,
                send("DELETE", platform.address(), HEAD + "?ifVersion=" + first, "").statusCode());
        assertEquals(404, read().statusCode());
        assertTrue(version(put("three", 0)) > first);
        assertEquals("three", read().body());
    }

    @Test
    void aValueOverTheLimitIsRefused() {
        assertEquals(200, put("x".repeat(1_000_000), 0).statusCode());
        assertEquals(413, put("x".repeat(1_000_001), 0).statusCode());
    }

    @Test
    void aWaitingWatchIsAnsweredOnAWriteAndCountsAsOneCall() {
        long first = version(put("one", 0));
        platform.resetCalls();
        CompletableFuture<HttpResponse<String>> watch = watch(first);
        Await.until(() -> platform.waitingWatchCount() == 1);
        long second = version(put("two", first));
        assertEquals("two", watch.join().body());
        assertEquals(second, version(watch.join()));
        assertEquals(1, platform.callCounts().get("watch"));
        assertEquals(204, send("GET", platform.address(), watchPath(second, 1), "").statusCode());
    }

    @Test
    void aWriteWithALostResponseTakesEffect() {
        setFault("{\"mode\":\"effectWithoutAnswer\"}");
        assertThrows(CompletionException.class, () -> put("one", 0));
        setFault("{\"mode\":\"none\"}");
        assertEquals("one", read().body());
    }

    @Test
    void aCallWhileThePlatformIsDownHasNoResponseAndNoEffect() {
        CompletableFuture<HttpResponse<String>> watch = watch(0);
        Await.until(() -> platform.waitingWatchCount() == 1);
        setFault("{\"mode\":\"down\"}");
        assertThrows(CompletionException.class, watch::join);
        assertThrows(CompletionException.class, () -> put("one", 0));
        setFault("{\"mode\":\"none\"}");
        assertEquals(404, read().statusCode());
    }

    @Test
    void aStaleReadReturnsThePreviousValueOfAKeyWithThePrefix() {
        long first = version(put("one", 0));
        put("two", first);
        setFault("{\"mode\":\"staleRead\",\"keyPrefix\":\"claim/\"}");
        assertEquals("two", read().body());
        setFault("{\"mode\":\"staleRead\",\"keyPrefix\":\"config/\"}");
        assertEquals("one", read().body());
        assertEquals(first, version(read()));
    }

    @Test
    void aSilentWatchGetsNoResponseWhileOtherCallsDo() {
        CompletableFuture<HttpResponse<String>> earlyWatch = watch(0);
        Await.until(() -> platform.waitingWatchCount() == 1);
        platform.setFault(PlatformFault.of(PlatformFault.Mode.SILENT_WATCH));
        platform.resetCalls();
        CompletableFuture<HttpResponse<String>> lateWatch = watch(0);
        Await.until(() -> platform.callCounts().get("watch") == 1);
        put("one", 0);
        assertEquals("one", read().body());
        assertFalse(earlyWatch.isDone());
        assertFalse(lateWatch.isDone());
    }

    @Test
    void anExpiredLeaseRemovesTheAttachedKeysAndRejectsWrites() {
        HttpResponse<String> lease = send("POST", platform.address(), "/v1/leases?ttlMs=20", "");
        assertEquals("{\"lease\":1}", lease.body());
        String path = "/v1/kv/claim/a";
        send("PUT", platform.address(), path + "?ifVersion=0&lease=1", "a");
        Await.until(() -> send("GET", platform.address(), path, "").statusCode() == 404);
        Await.until(
                () ->
                        send("PUT", platform.address(), path + "?ifVersion=0&lease=1", "b")
                                        .statusCode()
                                == 410);
        assertEquals(404, send("POST", platform.address(), "/v1/leases/1/renew", "").statusCode());
    }

    @Test
    void theInstanceListBecomesVisibleAfterTheLag() {
        String list =
                "[{\"kind\":\"entry\",\"address\":\"127.0.0.1:1\","
                        + "\"dataCentre\":\"a\",\"leaving\":true}]";
        send("PUT", platform.address(), "/admin/instances?lagMs=600000", "[]");
        send("PUT", platform.address(), "/admin/instances?lagMs=1", list);
        Await.until(() -> send("GET", platform.address(), "/v1/instances", "").body().equals(list));
    }

    private HttpResponse<String> put(String value, long ifVersion) {
        return send("PUT", platform.address(), HEAD + "?ifVersion=" + ifVersion, value);
    }

    private HttpResponse<String> read() {
        return send("GET", platform.address(), HEAD, "");
    }

    private CompletableFuture<HttpResponse<String>> watch(long afterVersion) {
        return start("GET", platform.address(), LONG_WATCH + afterVersion, "");
    }

    private static String watchPath(long afterVersion, long waitMs) {
        return "/v1/watch/config/head?afterVersion=" + afterVersion + "&waitMs=" + waitMs;
    }

    private void setFault(String fault) {
        assertEquals(204, send("POST", platform.address(), "/admin/fault", fault).statusCode());
    }
}
