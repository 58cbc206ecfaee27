package org.sequoiaspindle.daemon.failure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.coordination.retry.RetryRule;
import org.sequoiaspindle.standins.state.EngineOptions;
import org.sequoiaspindle.standins.state.ServiceOptions;
import org.sequoiaspindle.standins.transport.EngineServer;
import org.sequoiaspindle.standins.transport.LinkProxy;
import org.sequoiaspindle.standins.transport.ServiceServer;

/** Guards against requests that hang on connections that stay open but no longer deliver data. */
final class SilentConnectionTest {

    private static final long DEADLINE_MS = 12_000;
    private static final long ENDPOINT_TIMEOUT_MS = 1000;

    /**
     * Rounds of ordinary requests. The requests open more connections than a stage has attempts,
     * and fill the retry budget, which grows by 1 retry for 10 requests.
     */
    private static final int ORDINARY_ROUNDS = 12;

    private static final int CONCURRENT_REQUESTS = 8;
    private static final int STREAMS = 4;
    private static final int TOKENS = 40;

    private static final TestInstallation INSTALLATION = new TestInstallation();
    private static final ServiceServer ACCOUNTS =
            INSTALLATION.register(
                    ServiceServer.start(
                            ServiceOptions.of(Map.of("serviceMs", "50", "slots", "64"))));
    private static final ServiceServer SUPPORT =
            INSTALLATION.register(
                    ServiceServer.start(
                            ServiceOptions.of(Map.of("serviceMs", "5", "slots", "64"))));
    private static final EngineServer ENGINE = engine();
    private static final EngineServer OTHER_ENGINE = engine();
    private static final LinkProxy ACCOUNTS_LINK =
            INSTALLATION.register(LinkProxy.start(ACCOUNTS.address()));
    private static final LinkProxy ENGINE_LINK =
            INSTALLATION.register(LinkProxy.start(ENGINE.address()));
    private static final LinkProxy PLATFORM_LINK =
            INSTALLATION.register(LinkProxy.start(INSTALLATION.platform().address()));

    private static DaemonProcess entryInstance;
    private static DaemonProcess isolatedInstance;

    private final TestCaller caller = new TestCaller("alpha");

    @BeforeAll
    static void publish() {
        entryInstance =
                INSTALLATION.start(
                        "entry",
                        settings ->
                                settings.put("endpointFirstByteMs", ENDPOINT_TIMEOUT_MS)
                                        .put("endpointIdleMs", ENDPOINT_TIMEOUT_MS));
        isolatedInstance =
                INSTALLATION.start("isolated", SilentConnectionTest::withStoreBehindTheLink);
        INSTALLATION.publishFirst(objectSet(), entryInstance, isolatedInstance);
    }

    @AfterAll
    static void close() {
        INSTALLATION.close();
    }

    @AfterEach
    void clearFaults() {
        Await.value(ACCOUNTS_LINK.heal());
        Await.value(ENGINE_LINK.heal());
        Await.value(PLATFORM_LINK.heal());
    }

    @Test
    void requestsOnSilentConnectionsToTheOnlyEndpointAreAnsweredOnNewConnections() {
        serveOrdinaryRequests();
        assertTrue(ACCOUNTS_LINK.connectionCounts().open() > RetryRule.MAX_ATTEMPTS);
        Await.value(ACCOUNTS_LINK.silenceExisting());
        lookUpConcurrently(1);
        lookUpConcurrently(CONCURRENT_REQUESTS);
    }

    @Test
    void streamsThatGoSilentPartwayAreCompletedByAnotherEngine() {
        serveOrdinaryRequests();
        List<CompletableFuture<CallerReply>> replies = new ArrayList<>();
        for (int index = 0; index < STREAMS; index++) {
            replies.add(caller.chat(entryInstance, "stream " + index, TOKENS, DEADLINE_MS));
        }
        Await.until("the engine behind the link runs a stream", () -> ENGINE.load().running() > 0);
        Await.value(ENGINE_LINK.silenceAll());
        for (int index = 0; index < replies.size(); index++) {
            CallerReply reply = Await.value(replies.get(index));
            String expectedAnswer =
                    EngineServer.expectedAnswer(
                            TestObjectSets.engineInput("stream " + index), TOKENS);
            assertEquals("ANSWERED", reply.outcome(), reply.toString());
            assertEquals(expectedAnswer, reply.answer());
            assertEquals(expectedAnswer, reply.streamedText());
        }
    }

    @Test
    void publicationBecomesActiveAtAnInstanceWhoseStoreConnectionsWentSilent() {
        for (int round = 0; round < 2; round++) {
            long generation = INSTALLATION.generation(entryInstance);
            assertEquals(generation, INSTALLATION.generation(isolatedInstance));
            Await.value(PLATFORM_LINK.silenceExisting());
            var response =
                    Await.value(
                            INSTALLATION.publish(entryInstance, "otto", objectSet(), generation));
            assertEquals(200, response.statusCode(), response.body());
            Await.until(
                    "new generation active",
                    () -> INSTALLATION.generation(isolatedInstance) == generation + 1);
            Await.until(
                    "new generation active",
                    () -> INSTALLATION.generation(entryInstance) == generation + 1);
        }
    }

    private void serveOrdinaryRequests() {
        for (int round = 0; round < ORDINARY_ROUNDS; round++) {
            lookUpConcurrently(CONCURRENT_REQUESTS);
        }
    }

    private void lookUpConcurrently(int count) {
        List<CompletableFuture<CallerReply>> replies = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            replies.add(caller.lookUp(entryInstance, "account " + index, DEADLINE_MS));
        }
        for (int index = 0; index < count; index++) {
            CallerReply reply = Await.value(replies.get(index));
            assertEquals("ANSWERED", reply.outcome(), reply.toString());
            assertEquals(ServiceServer.expectedOutput("find", "account " + index), reply.answer());
        }
    }

    /**
     * Returns the settings of an instance that reaches the store through the link. Another secret
     * leaves the instance without peers, so that it learns of changes only from the store.
     */
    private static ObjectNode withStoreBehindTheLink(ObjectNode settings) {
        settings.putObject("platform").put("address", PLATFORM_LINK.address());
        ((ObjectNode) settings.get("peer")).put("secret", "secret-of-another-installation");
        return settings;
    }

    private static String objectSet() {
        return TestObjectSets.of(
                Map.of(
                        "accounts", List.of(ACCOUNTS_LINK.address()),
                        "support", List.of(SUPPORT.address()),
                        "engines", List.of(ENGINE_LINK.address(), OTHER_ENGINE.address())));
    }

    private static EngineServer engine() {
        return INSTALLATION.register(
                EngineServer.start(EngineOptions.of(Map.of("tokenMs", "25", "slots", "64"))));
    }
}
