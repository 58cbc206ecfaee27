package org.sequoiaspindle.daemon.transport.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.Vector;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.protocol.peer.InstanceListEntry;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;
import org.sequoiaspindle.core.protocol.store.StoreValue;
import org.sequoiaspindle.daemon.transport.ScriptedServer;

/**
 * Guards against wrong results for responses of the store, and against the reuse of connections
 * that no longer deliver data.
 */
final class HttpStoreTest {

    @Test
    void eachAnswerBecomesTheResultOfItsCommand() {
        StoreCommand read = new StoreCommand.Read("config/head");
        StoreCommand write =
                new StoreCommand.CompareAndSwap("claim/a b", 3, StoreValue.ofString("v"), 9);
        StoreCommand watch = new StoreCommand.AwaitChange("config/head", 3, 2000);

        assertResult(
                read,
                "GET /v1/kv/config/head ",
                "200 OK\r\nSequoia-Version: 4",
                "v",
                new StoreResult.Found(StoreValue.ofString("v"), 4));
        assertResult(read, "GET", "404 Not Found", "", new StoreResult.Missing());
        assertResult(
                write,
                "PUT /v1/kv/claim/a%20b?ifVersion=3&lease=9 ",
                "200 OK\r\nSequoia-Version: 5",
                "",
                new StoreResult.Swapped(5));
        assertResult(
                write,
                "PUT",
                "409 Conflict\r\nSequoia-Version: 7",
                "",
                new StoreResult.Conflict(7));
        assertResult(
                new StoreCommand.Delete("k", 2),
                "DELETE /v1/kv/k?ifVersion=2 ",
                "200 OK",
                "",
                new StoreResult.Swapped(0));
        assertResult(
                new StoreCommand.CreateLease(1000),
                "POST /v1/leases?ttlMs=1000 ",
                "200 OK",
                "{\"lease\":12}",
                new StoreResult.LeaseCreated(12));
        assertResult(
                watch,
                "GET /v1/watch/config/head?afterVersion=3&waitMs=2000 ",
                "204 No Content",
                "",
                new StoreResult.Unchanged());
    }

    @Test
    void commandWithAnUnusableResponseIsUnavailable() {
        for (String status : new String[] {"500 Error", "200 OK", "204 No Content", "302 Found"}) {
            assertInstanceOf(
                    StoreResult.Unavailable.class,
                    resultOf(new StoreCommand.Read("k"), status, "", new CompletableFuture<>()));
        }
    }

    @Test
    void commandToAnUnreachableStoreIsUnavailable() {
        try (HttpStore store = new HttpStore(ScriptedServer.closedAddress())) {
            assertInstanceOf(
                    StoreResult.Unavailable.class,
                    await(store.execute(new StoreCommand.Read("k"))));
        }
    }

    @Test
    void silentConnectionIsClosedAndTheNextCommandUsesANewOne() {
        CompletableFuture<String> readAfterTimeout = new CompletableFuture<>();
        assertConnectionReplaced(
                connection -> {
                    connection.readRequest();
                    readAfterTimeout.complete(connection.readRequest());
                });
        assertEquals("", await(readAfterTimeout));
    }

    @Test
    void responseThatNeverCompletesIsUnavailableAndItsConnectionIsClosed() {
        CompletableFuture<String> readAfterTimeout = new CompletableFuture<>();
        assertConnectionReplaced(
                connection -> {
                    connection.readRequest();
                    try {
                        connection.write("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n");
                        connection.socket().setSoTimeout(50);
                        while (isStillOpen(connection)) {
                            connection.write("x");
                        }
                        readAfterTimeout.complete("");
                    } catch (IOException e) {
                        readAfterTimeout.complete("");
                    }
                });
        assertEquals("", await(readAfterTimeout));
    }

    @Test
    void instanceListIsReadWholeOrNotAtAll() {
        String entry =
                "{\"kind\":\"entry\",\"address\":\"127.0.0.1:1\",\"dataCentre\":\"d\","
                        + "\"leaving\":true}";
        assertEquals(
                Vector.of(
                        new InstanceListEntry(
                                InstanceListEntry.Kind.ENTRY, "127.0.0.1:1", "d", true)),
                fetchInstances("[" + entry + "]").get());
        assertTrue(fetchInstances("[" + entry + ",{}]").isLeft());
        assertTrue(fetchInstances("{}").isLeft());
        assertEquals(Vector.empty(), fetchInstances("[]").get());
    }

    private static boolean isStillOpen(ScriptedServer.Connection connection) throws IOException {
        try {
            return connection.socket().getInputStream().read() >= 0;
        } catch (SocketTimeoutException e) {
            return true;
        }
    }

    private static io.vavr.control.Either<String, Vector<InstanceListEntry>> fetchInstances(
            String body) {
        try (ScriptedServer server =
                        new ScriptedServer(
                                connection -> {
                                    connection.readRequest();
                                    connection.respond("200 OK", body);
                                });
                HttpInstanceList list = new HttpInstanceList(server.address())) {
            return await(list.fetch());
        }
    }

    /** Runs the script on the first connection; later connections get a valid response. */
    private static void assertConnectionReplaced(ScriptedServer.Script firstScript) {
        try (ScriptedServer server =
                        new ScriptedServer(
                                connection -> {
                                    if (connection.number() == 1) {
                                        firstScript.run(connection);
                                        return;
                                    }
                                    connection.readRequest();
                                    connection.respond("200 OK\r\nSequoia-Version: 1", "v");
                                });
                HttpStore store = new HttpStore(server.address())) {
            StoreCommand read = new StoreCommand.Read("k");
            assertInstanceOf(StoreResult.Unavailable.class, await(store.execute(read)));
            assertInstanceOf(StoreResult.Found.class, await(store.execute(read)));
            assertEquals(2, server.connections());
        }
    }

    private static void assertResult(
            StoreCommand command,
            String requestStart,
            String statusAndHeaders,
            String body,
            StoreResult expectedResult) {
        CompletableFuture<String> request = new CompletableFuture<>();
        assertEquals(expectedResult, resultOf(command, statusAndHeaders, body, request));
        assertTrue(await(request).startsWith(requestStart), await(request));
    }

    private static StoreResult resultOf(
            StoreCommand command,
            String statusAndHeaders,
            String body,
            CompletableFuture<String> request) {
        try (ScriptedServer server =
                        new ScriptedServer(
                                connection -> {
                                    request.complete(connection.readRequest());
                                    if (statusAndHeaders.startsWith("204")) {
                                        connection.write("HTTP/1.1 204 No Content\r\n\r\n");
                                        connection.readRequest();
                                    } else {
                                        connection.respond(statusAndHeaders, body);
                                    }
                                });
                HttpStore store = new HttpStore(server.address())) {
            return await(store.execute(command));
        }
    }

    private static <T> T await(CompletionStage<T> stage) {
        return stage.toCompletableFuture().orTimeout(30, TimeUnit.SECONDS).join();
    }
}
