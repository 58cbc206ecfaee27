package org.sequoiaspindle.standins.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.standins.Await;
import org.sequoiaspindle.standins.StandinClient;
import org.sequoiaspindle.standins.state.LinkConnectionCounts;

/** Guards against a silent link that closes a socket or still forwards data. */
final class LinkProxyTest {

    // Many times the loopback latency. Only bounds the wait for data that must not arrive.
    private static final int NO_DATA_WAIT_MS = 100;

    private final ServerSocket target = openServerSocket();
    private final LinkProxy link = LinkProxy.start("127.0.0.1:" + target.getLocalPort());
    private Socket client;
    private Socket upstream;

    @BeforeEach
    void connectBothEnds() throws IOException {
        client = connect();
        upstream = target.accept();
        assertByteIsForwarded(client, upstream, 1);
        assertByteIsForwarded(upstream, client, 2);
    }

    @AfterEach
    void close() throws IOException {
        client.close();
        upstream.close();
        link.close();
        target.close();
    }

    @Test
    void aSilentLinkKeepsBothSocketsOpenAndForwardsDataOnceHealed() throws IOException {
        link.silenceAll().join();
        client.getOutputStream().write(3);
        upstream.getOutputStream().write(4);
        assertStaysOpenWithoutData(client);
        assertStaysOpenWithoutData(upstream);
        assertEquals(new LinkConnectionCounts(1, 1), link.connectionCounts());
        link.heal().join();
        assertEquals(3, upstream.getInputStream().read());
        assertEquals(4, client.getInputStream().read());
    }

    @Test
    void silencingExistingConnectionsDoesNotAffectNewConnections() throws IOException {
        link.silenceExisting().join();
        try (Socket secondClient = connect();
                Socket secondUpstream = target.accept()) {
            assertByteIsForwarded(secondClient, secondUpstream, 5);
            client.getOutputStream().write(3);
            assertStaysOpenWithoutData(upstream);
        }
    }

    @Test
    void silencingAllConnectionsAlsoSilencesNewConnections() throws IOException {
        link.silenceAll().join();
        try (Socket secondClient = connect();
                Socket secondUpstream = target.accept()) {
            secondClient.getOutputStream().write(5);
            assertStaysOpenWithoutData(secondUpstream);
        }
    }

    @Test
    void theCutCommandOverHttpClosesBothSockets() throws IOException {
        assertEquals(
                204,
                StandinClient.send(
                                "POST", link.adminAddress(), "/admin/link", "{\"mode\":\"cutAll\"}")
                        .statusCode());
        assertEquals(-1, client.getInputStream().read());
        assertEquals(-1, upstream.getInputStream().read());
        Await.until(() -> link.connectionCounts().open() == 0);
    }

    private Socket connect() throws IOException {
        String[] parts = link.address().split(":");
        return new Socket(parts[0], Integer.parseInt(parts[1]));
    }

    private static ServerSocket openServerSocket() {
        try {
            return new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void assertByteIsForwarded(Socket from, Socket to, int value)
            throws IOException {
        to.setSoTimeout(Await.TIMEOUT_S * 1000);
        from.getOutputStream().write(value);
        assertEquals(value, to.getInputStream().read());
    }

    private static void assertStaysOpenWithoutData(Socket socket) throws IOException {
        socket.setSoTimeout(NO_DATA_WAIT_MS);
        assertThrows(SocketTimeoutException.class, () -> socket.getInputStream().read());
        socket.setSoTimeout(Await.TIMEOUT_S * 1000);
    }
}
