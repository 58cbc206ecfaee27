package org.sequoiaspindle.daemon.failure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.standins.state.PlatformFault;
import org.sequoiaspindle.standins.state.PlatformFault.Mode;
import org.sequoiaspindle.standins.state.ServiceOptions;
import org.sequoiaspindle.standins.transport.PlatformServer;
import org.sequoiaspindle.standins.transport.ServiceServer;

/**
 * Guards against published configurations that are lost, silently overwritten or replaced by older
 * ones.
 */
final class ActiveConfigurationTest {

    private static final long DEADLINE_MS = 10_000;
    private static final int ROUNDS = 5;

    private static final TestInstallation INSTALLATION = new TestInstallation();
    private static final PlatformServer PLATFORM = INSTALLATION.platform();
    private static final ServiceServer ACCOUNT_SERVICE =
            INSTALLATION.register(ServiceServer.start(ServiceOptions.of(Map.of())));
    private static final String OBJECT_SET =
            TestObjectSets.of(Map.of("accounts", List.of(ACCOUNT_SERVICE.address())));

    private static DaemonProcess firstInstance;
    private static DaemonProcess secondInstance;

    @BeforeAll
    static void publish() {
        firstInstance = INSTALLATION.start("first");
        INSTALLATION.publishFirst(OBJECT_SET, firstInstance);
        secondInstance = INSTALLATION.startAndAwaitReady("second").get("second");
    }

    @AfterAll
    static void close() {
        INSTALLATION.close();
    }

    @AfterEach
    void clearFaults() {
        PLATFORM.setFault(PlatformFault.none());
    }

    @Test
    void concurrentPublicationsHaveOneWinnerAndTheOtherOperatorIsToldWhoWon() {
        for (int round = 0; round < ROUNDS; round++) {
            assertOneOfTwoPublicationsWins();
        }
    }

    @Test
    void concurrentPublicationsHaveOneWinnerEvenIfStoreResponsesAreLost() {
        PLATFORM.setFault(new PlatformFault(Mode.EFFECT_WITHOUT_ANSWER, 0, "config/head"));
        assertOneOfTwoPublicationsWins();
    }

    @Test
    void instanceRestartedWhileTheStoreIsDownTakesTheConfigurationFromAPeerAndServes() {
        long generation = INSTALLATION.generation(firstInstance);
        PLATFORM.setFault(PlatformFault.of(Mode.DOWN));
        DaemonProcess restartedInstance = INSTALLATION.start("restarted");
        INSTALLATION.awaitReady(restartedInstance);
        assertEquals(generation, INSTALLATION.generation(restartedInstance));
        CallerReply reply =
                Await.value(
                        new TestCaller("beta")
                                .lookUp(restartedInstance, "store is down", DEADLINE_MS));
        assertEquals(ServiceServer.expectedOutput("find", "store is down"), reply.answer());
        restartedInstance.kill();
    }

    @Test
    void staleReadsOfTheStoreNeverRevertAnInstanceToAnOlderConfiguration() {
        long generation = INSTALLATION.generation(firstInstance);
        publishNext(generation);
        PLATFORM.setFault(PlatformFault.of(Mode.STALE_READ));
        long watchesBefore = PLATFORM.callCounts().get("watch");
        Await.until(
                "the store received watches",
                () -> PLATFORM.callCounts().get("watch") > watchesBefore + 2);
        assertEquals(generation + 1, INSTALLATION.generation(firstInstance));
        assertEquals(generation + 1, INSTALLATION.generation(secondInstance));
        DaemonProcess laterInstance = INSTALLATION.start("late");
        Await.until(
                "the highest generation is active at a new instance",
                () ->
                        laterInstance.isReady()
                                && INSTALLATION.generation(laterInstance) == generation + 1);
        laterInstance.kill();
    }

    @Test
    void instanceWithoutStoreAndPeersIsNotReadyUntilTheStoreRecovers() {
        PLATFORM.setFault(PlatformFault.of(Mode.DOWN));
        try (TestInstallation isolatedInstallation = INSTALLATION.onSamePlatform()) {
            DaemonProcess isolatedInstance = isolatedInstallation.start("alone");
            long storeCallsBefore =
                    PLATFORM.callCounts().get("watch") + PLATFORM.callCounts().get("read");
            Await.until(
                    "the isolated instance called the store",
                    () ->
                            PLATFORM.callCounts().get("watch") + PLATFORM.callCounts().get("read")
                                    > storeCallsBefore + 2);
            assertEquals(503, isolatedInstance.readyStatus());
            CallerReply reply =
                    Await.value(
                            new TestCaller("beta")
                                    .lookUp(isolatedInstance, "too early", DEADLINE_MS));
            assertEquals("NOT_RUN", reply.outcome());
            PLATFORM.setFault(PlatformFault.none());
            isolatedInstallation.awaitReady(isolatedInstance);
            assertEquals(
                    INSTALLATION.generation(firstInstance),
                    isolatedInstallation.generation(isolatedInstance));
        }
    }

    private static void assertOneOfTwoPublicationsWins() {
        long base = INSTALLATION.generation(firstInstance);
        Await.until("same generation", () -> INSTALLATION.generation(secondInstance) == base);
        CompletableFuture<HttpResponse<String>> olgaPublication =
                INSTALLATION.publish(firstInstance, "olga", OBJECT_SET, base);
        CompletableFuture<HttpResponse<String>> ottoPublication =
                INSTALLATION.publish(secondInstance, "otto", OBJECT_SET, base);
        HttpResponse<String> olgaResponse = Await.value(olgaPublication);
        HttpResponse<String> ottoResponse = Await.value(ottoPublication);
        boolean olgaWon = olgaResponse.statusCode() == 200;
        HttpResponse<String> winnerResponse = olgaWon ? olgaResponse : ottoResponse;
        HttpResponse<String> loserResponse = olgaWon ? ottoResponse : olgaResponse;
        assertEquals(200, winnerResponse.statusCode(), winnerResponse.body());
        assertEquals(409, loserResponse.statusCode(), loserResponse.body());
        JsonNode conflict = TestCaller.json(loserResponse.body());
        assertEquals(base + 1, TestCaller.json(winnerResponse.body()).path("generation").asLong());
        assertEquals(base + 1, conflict.path("generation").asLong(), loserResponse.body());
        assertEquals(
                olgaWon ? "olga" : "otto",
                conflict.path("operator").asText(),
                loserResponse.body());
        Await.until(
                "new generation active", () -> INSTALLATION.generation(firstInstance) == base + 1);
        Await.until(
                "new generation active", () -> INSTALLATION.generation(secondInstance) == base + 1);
    }

    private static void publishNext(long base) {
        HttpResponse<String> response =
                Await.value(INSTALLATION.publish(firstInstance, "olga", OBJECT_SET, base));
        assertEquals(200, response.statusCode(), response.body());
        Await.until(
                "new generation active", () -> INSTALLATION.generation(firstInstance) == base + 1);
        Await.until(
                "new generation active", () -> INSTALLATION.generation(secondInstance) == base + 1);
        assertTrue(response.body().contains("published"), response.body());
    }
}
