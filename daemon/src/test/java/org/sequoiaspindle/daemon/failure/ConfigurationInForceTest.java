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
final class ConfigurationInForceTest {

    private static final long DEADLINE_MS = 10_000;
    private static final int ROUNDS = 5;

    private static final TestInstallation INSTALLATION = new TestInstallation();
    private static final PlatformServer PLATFORM = INSTALLATION.platform();
    private static final ServiceServer ACCOUNTS =
            INSTALLATION.register(ServiceServer.start(ServiceOptions.of(Map.of())));
    private static final String OBJECT_SET =
            TestObjectSets.of(Map.of("accounts", List.of(ACCOUNTS.address())));

    private static DaemonProcess first;
    private static DaemonProcess second;

    @BeforeAll
    static void publish() {
        first = INSTALLATION.start("first");
        INSTALLATION.publishFirst(OBJECT_SET, first);
        second = INSTALLATION.startAndAwaitReady("second").get("second");
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
    void concurrentPublicationsHaveOneWinnerAlsoIfStoreResponsesAreLost() {
        PLATFORM.setFault(new PlatformFault(Mode.EFFECT_WITHOUT_ANSWER, 0, "config/head"));
        assertOneOfTwoPublicationsWins();
    }

    @Test
    void instanceRestartedWhileTheStoreIsDownTakesTheConfigurationFromAPeerAndServes() {
        long generation = INSTALLATION.generation(first);
        PLATFORM.setFault(PlatformFault.of(Mode.DOWN));
        DaemonProcess restarted = INSTALLATION.start("restarted");
        INSTALLATION.awaitReady(restarted);
        assertEquals(generation, INSTALLATION.generation(restarted));
        CallerReply reply =
                Await.value(new TestCaller("beta").lookUp(restarted, "store is down", DEADLINE_MS));
        assertEquals(ServiceServer.expectedOutput("find", "store is down"), reply.answer());
        restarted.kill();
    }

    @Test
    void staleReadsOfTheStoreNeverRevertAnInstanceToAnOlderConfiguration() {
        long generation = INSTALLATION.generation(first);
        publishNext(generation);
        PLATFORM.setFault(PlatformFault.of(Mode.STALE_READ));
        long readsBefore = PLATFORM.callCounts().get("watch");
        Await.until(
                "the store was watched",
                () -> PLATFORM.callCounts().get("watch") > readsBefore + 2);
        assertEquals(generation + 1, INSTALLATION.generation(first));
        assertEquals(generation + 1, INSTALLATION.generation(second));
        DaemonProcess startedLater = INSTALLATION.start("late");
        Await.until(
                "the highest generation is in force at a new instance",
                () ->
                        startedLater.isReady()
                                && INSTALLATION.generation(startedLater) == generation + 1);
        startedLater.kill();
    }

    @Test
    void instanceWithoutStoreAndPeersIsNotReadyUntilTheStoreIsBack() {
        PLATFORM.setFault(PlatformFault.of(Mode.DOWN));
        try (TestInstallation isolatedInstallation = INSTALLATION.onSamePlatform()) {
            DaemonProcess alone = isolatedInstallation.start("alone");
            long watchesBefore =
                    PLATFORM.callCounts().get("watch") + PLATFORM.callCounts().get("read");
            Await.until(
                    "it asked the store",
                    () ->
                            PLATFORM.callCounts().get("watch") + PLATFORM.callCounts().get("read")
                                    > watchesBefore + 2);
            assertEquals(503, alone.readyStatus());
            CallerReply reply =
                    Await.value(new TestCaller("beta").lookUp(alone, "too early", DEADLINE_MS));
            assertEquals("NOT_RUN", reply.outcome());
            PLATFORM.setFault(PlatformFault.none());
            isolatedInstallation.awaitReady(alone);
            assertEquals(INSTALLATION.generation(first), isolatedInstallation.generation(alone));
        }
    }

    private static void assertOneOfTwoPublicationsWins() {
        long base = INSTALLATION.generation(first);
        Await.until("same generation", () -> INSTALLATION.generation(second) == base);
        CompletableFuture<HttpResponse<String>> olga =
                INSTALLATION.publish(first, "olga", OBJECT_SET, base);
        CompletableFuture<HttpResponse<String>> otto =
                INSTALLATION.publish(second, "otto", OBJECT_SET, base);
        HttpResponse<String> olgas = Await.value(olga);
        HttpResponse<String> ottos = Await.value(otto);
        boolean olgaWon = olgas.statusCode() == 200;
        HttpResponse<String> winner = olgaWon ? olgas : ottos;
        HttpResponse<String> loser = olgaWon ? ottos : olgas;
        assertEquals(200, winner.statusCode(), winner.body());
        assertEquals(409, loser.statusCode(), loser.body());
        JsonNode conflict = TestCaller.json(loser.body());
        assertEquals(base + 1, TestCaller.json(winner.body()).path("generation").asLong());
        assertEquals(base + 1, conflict.path("generation").asLong(), loser.body());
        assertEquals(olgaWon ? "olga" : "otto", conflict.path("operator").asText(), loser.body());
        Await.until("in force", () -> INSTALLATION.generation(first) == base + 1);
        Await.until("in force", () -> INSTALLATION.generation(second) == base + 1);
    }

    private static void publishNext(long base) {
        HttpResponse<String> published =
                Await.value(INSTALLATION.publish(first, "olga", OBJECT_SET, base));
        assertEquals(200, published.statusCode(), published.body());
        Await.until("in force", () -> INSTALLATION.generation(first) == base + 1);
        Await.until("in force", () -> INSTALLATION.generation(second) == base + 1);
        assertTrue(published.body().contains("published"), published.body());
    }
}
