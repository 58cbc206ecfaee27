package org.sequoiaspindle.core.protocol.peer;

import io.vavr.Tuple;
import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.function.Function;
import org.sequoiaspindle.core.protocol.endpoint.Token;

/**
 * Encodes and decodes each type of message. The type number of a removed message is never reused.
 */
final class PeerMessageCodecs {

    private static final String CORRELATION = "c";

    private static final Vector<Codec<?>> ALL =
            Vector.of(
                    new Codec<>(
                            1,
                            PeerMessage.Hello.class,
                            PeerMessageCodecs::writeHello,
                            PeerMessageCodecs::readHello),
                    new Codec<>(
                            2,
                            PeerMessage.HelloProof.class,
                            m -> MessageFields.of("proof", m.proof()),
                            f -> new PeerMessage.HelloProof(f.text("proof"))),
                    new Codec<>(
                            3,
                            PeerMessage.Heartbeat.class,
                            PeerMessageCodecs::writeHeartbeat,
                            PeerMessageCodecs::readHeartbeat),
                    new Codec<>(
                            4,
                            PeerMessage.Summary.class,
                            m ->
                                    MessageFields.of(
                                            "dc",
                                            m.dataCentre(),
                                            "e",
                                            m.entries().map(ReportFieldCodec::write).asJava()),
                            f ->
                                    new PeerMessage.Summary(
                                            f.text("dc"),
                                            f.list("e", ReportFieldCodec::readEntry))),
                    new Codec<>(
                            5,
                            PeerMessage.Directory.class,
                            m ->
                                    MessageFields.of(
                                            "e",
                                            m.addresses().map(ReportFieldCodec::write).asJava()),
                            f ->
                                    new PeerMessage.Directory(
                                            f.list("e", ReportFieldCodec::readPeerAddress))),
                    new Codec<>(
                            6,
                            PeerMessage.Announce.class,
                            m -> MessageFields.of("head", HeadFieldCodec.write(m.head())),
                            f -> new PeerMessage.Announce(HeadFieldCodec.read(f.nested("head")))),
                    new Codec<>(
                            7,
                            PeerMessage.FetchHead.class,
                            m -> MessageFields.of(CORRELATION, m.correlation()),
                            f -> new PeerMessage.FetchHead(f.number(CORRELATION))),
                    new Codec<>(
                            8,
                            PeerMessage.HeadReply.class,
                            PeerMessageCodecs::writeHeadReply,
                            PeerMessageCodecs::readHeadReply),
                    new Codec<>(
                            9,
                            PeerMessage.FetchParts.class,
                            m ->
                                    MessageFields.of(
                                            CORRELATION,
                                            m.correlation(),
                                            "d",
                                            HeadFieldCodec.writeDigests(m.digests()).asJava()),
                            f ->
                                    new PeerMessage.FetchParts(
                                            f.number(CORRELATION),
                                            f.list("d", HeadFieldCodec::readDigest))),
                    new Codec<>(
                            10,
                            PeerMessage.PartsReply.class,
                            m ->
                                    MessageFields.of(
                                            CORRELATION,
                                            m.correlation(),
                                            "parts",
                                            m.parts().toJavaMap(),
                                            "last",
                                            m.last()),
                            PeerMessageCodecs::readPartsReply),
                    new Codec<>(
                            11,
                            PeerMessage.Forward.class,
                            m ->
                                    MessageFields.of(
                                            CORRELATION,
                                            m.correlation(),
                                            "hops",
                                            m.hops(),
                                            "call",
                                            CallFieldCodec.write(m.call())),
                            f ->
                                    new PeerMessage.Forward(
                                            f.number(CORRELATION),
                                            f.integer("hops"),
                                            CallFieldCodec.readCall(f.nested("call")))),
                    new Codec<>(
                            12,
                            PeerMessage.ForwardToken.class,
                            m ->
                                    MessageFields.of(
                                            CORRELATION,
                                            m.correlation(),
                                            "p",
                                            m.token().position(),
                                            "x",
                                            m.token().text()),
                            f ->
                                    new PeerMessage.ForwardToken(
                                            f.number(CORRELATION),
                                            new Token(f.number("p"), f.text("x")))),
                    new Codec<>(
                            13,
                            PeerMessage.ForwardResult.class,
                            m ->
                                    MessageFields.of(
                                            CORRELATION,
                                            m.correlation(),
                                            "result",
                                            CallFieldCodec.write(m.result())),
                            f ->
                                    new PeerMessage.ForwardResult(
                                            f.number(CORRELATION),
                                            CallFieldCodec.readResult(f.nested("result")))),
                    new Codec<>(
                            14,
                            PeerMessage.Cancel.class,
                            m -> MessageFields.of(CORRELATION, m.correlation()),
                            f -> new PeerMessage.Cancel(f.number(CORRELATION))));

    static final Map<Class<?>, Codec<?>> BY_CLASS =
            HashMap.ofEntries(ALL.map(codec -> Tuple.of(codec.message(), codec)));

    static final Map<Long, Codec<?>> BY_TYPE =
            HashMap.ofEntries(ALL.map(codec -> Tuple.of((long) codec.type(), codec)));

    private PeerMessageCodecs() {}

    /** Encoder and decoder of one type of message. */
    record Codec<M extends PeerMessage>(
            int type,
            Class<M> message,
            Function<M, java.util.Map<String, Object>> writer,
            MessageFields.Parser<MessageFields, M> reader) {

        java.util.Map<String, Object> write(PeerMessage peerMessage) {
            return writer.apply(message.cast(peerMessage));
        }
    }

    private static java.util.Map<String, Object> writeHello(PeerMessage.Hello hello) {
        return MessageFields.of(
                "version", hello.version(),
                "instance", hello.instance(),
                "dataCentre", hello.dataCentre(),
                "address", hello.address(),
                "incarnation", hello.incarnation(),
                "nonce", hello.nonce());
    }

    private static PeerMessage.Hello readHello(MessageFields fields)
            throws MalformedMessageException {
        return new PeerMessage.Hello(
                fields.integer("version"),
                fields.text("instance"),
                fields.text("dataCentre"),
                fields.text("address"),
                fields.number("incarnation"),
                fields.text("nonce"));
    }

    private static java.util.Map<String, Object> writeHeartbeat(PeerMessage.Heartbeat heartbeat) {
        java.util.Map<String, Object> fields = ReportFieldCodec.write(heartbeat.report());
        fields.put("ch", heartbeat.needsLink());
        if (heartbeat.leaving().nonEmpty()) {
            fields.put("lv", heartbeat.leaving().toJavaList());
        }
        return fields;
    }

    private static PeerMessage.Heartbeat readHeartbeat(MessageFields fields)
            throws MalformedMessageException {
        return new PeerMessage.Heartbeat(
                ReportFieldCodec.read(fields),
                fields.flag("ch"),
                fields.has("lv")
                        ? HashSet.ofAll(fields.list("lv", text -> MessageFields.text(text, "lv")))
                        : HashSet.empty());
    }

    private static java.util.Map<String, Object> writeHeadReply(PeerMessage.HeadReply reply) {
        java.util.Map<String, Object> fields = MessageFields.of(CORRELATION, reply.correlation());
        reply.head().forEach(head -> fields.put("head", HeadFieldCodec.write(head)));
        return fields;
    }

    private static PeerMessage.HeadReply readHeadReply(MessageFields fields)
            throws MalformedMessageException {
        return new PeerMessage.HeadReply(
                fields.number(CORRELATION),
                fields.has("head")
                        ? Option.of(HeadFieldCodec.read(fields.nested("head")))
                        : Option.none());
    }

    private static PeerMessage.PartsReply readPartsReply(MessageFields fields)
            throws MalformedMessageException {
        Map<String, String> parts = HashMap.empty();
        for (var entry : fields.nested("parts").values().entrySet()) {
            parts = parts.put(entry.getKey(), MessageFields.text(entry.getValue(), "part"));
        }
        return new PeerMessage.PartsReply(fields.number(CORRELATION), parts, fields.flag("last"));
    }
}
