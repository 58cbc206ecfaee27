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
import org.sequoiaspindle.standins.Client;
import org.sequoiaspindle.standins.state.LinkReport;

/** Guards against a silent link that closes a socket or still passes bytes. */
final class LinkProxyTest {

    // Long enough for a byte to cross loopback many times over; it only bounds how long
    // the test looks for a byte that must not come.
    private static final int LOOK_MS = 100;

    private final ServerSocket target = listen();
    private final LinkProxy link = LinkProxy.start("127.0.0.1:" + target.getLocalPort());
    private Socket near;
    private Socket far;

    @BeforeEach
    void connectBothEnds() throws IOException {
        near = dial();
        far = target.accept();
        exchangeByte(near, far, 1);
        exchangeByte(far, near, 2);
    }

    @AfterEach
    void close() throws IOException {
        near.close();
        far.close();
        link.close();
        target.close();
    }

    @Test
    void aSilentLinkKeepsBothSocketsOpenAndDeliversAfterHealing() throws IOException {
        link.silenceAll().join();
        near.getOutputStream().write(3);
        far.getOutputStream().write(4);
        assertNoByteAndNoEnd(near);
        assertNoByteAndNoEnd(far);
        assertEquals(new LinkReport(1, 1), link.report());
        link.heal().join();
        assertEquals(3, far.getInputStream().read());
        assertEquals(4, near.getInputStream().read());
    }

    @Test
    void silenceOfExistingConnectionsLeavesNewOnesAlone() throws IOException {
        link.silenceExisting().join();
        try (Socket secondNear = dial();
                Socket secondFar = target.accept()) {
            exchangeByte(secondNear, secondFar, 5);
            near.getOutputStream().write(3);
            assertNoByteAndNoEnd(far);
        }
    }

    @Test
    void silenceOfAllCoversNewConnections() throws IOException {
        link.silenceAll().join();
        try (Socket secondNear = dial();
                Socket secondFar = target.accept()) {
            secondNear.getOutputStream().write(5);
            assertNoByteAndNoEnd(secondFar);
        }
    }

    @Test
    void anOrderOverHttpCutsBothSockets() throws IOException {
        assertEquals(
                204,
                Client.send("POST", link.adminAddress(), "/admin/link", "{\"mode\":\"cutAll\"}")
                        .statusCode());
        assertEquals(-1, near.getInputStream().read());
        assertEquals(-1, far.getInputStream().read());
        Await.until(() -> link.report().open() == 0);
    }

    private Socket dial() throws IOException {
        String[] parts = link.address().split(":");
        return new Socket(parts[0], Integer.parseInt(parts[1]));
    }

    private static ServerSocket listen() {
        try {
            return new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void exchangeByte(Socket from, Socket to, int value) throws IOException {
        to.setSoTimeout(Await.LIMIT_S * 1000);
        from.getOutputStream().write(value);
        assertEquals(value, to.getInputStream().read());
    }

    private static void assertNoByteAndNoEnd(Socket socket) throws IOException {
        socket.setSoTimeout(LOOK_MS);
        assertThrows(SocketTimeoutException.class, () -> socket.getInputStream().read());
        socket.setSoTimeout(Await.LIMIT_S * 1000);
    }
}
