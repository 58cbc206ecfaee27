package org.sequoiaspindle.daemon.transport.frame;

import io.vavr.control.Either;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import org.sequoiaspindle.daemon.transport.ScriptedServer;

/** Other end of a connection between instances, which sends frames as a test determines. */
public record FramePeer<M>(ScriptedServer.Connection connection, FrameFormat<M> format) {

    /** Reads the next message, which must be well-formed. */
    public M read() throws IOException {
        DataInputStream in = new DataInputStream(connection.socket().getInputStream());
        Either<String, M> message = format.decoder().apply(in.readNBytes(in.readInt()));
        return message.getOrElseThrow(reason -> new IOException(reason));
    }

    public void send(M message) throws IOException {
        byte[] content = format.encoder().apply(message);
        DataOutputStream out = new DataOutputStream(connection.socket().getOutputStream());
        out.writeInt(content.length);
        out.write(content);
    }
}
