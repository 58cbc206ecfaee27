package org.sequoiaspindle.core.protocol.forwarding;

import io.vavr.control.Either;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sequoiaspindle.core.coordination.forwarding.piece.Piece;
import org.sequoiaspindle.core.protocol.peer.MessagePackTree;
import org.sequoiaspindle.core.protocol.peer.TreeFields;

/** Encodes a {@link PieceMessage} in MessagePack, as a map with the type and the fields. */
public final class PieceMessageCodec {

    private static final String TYPE = "type";
    private static final String NUMBER = "number";

    private PieceMessageCodec() {}

    public static byte[] encode(PieceMessage message) {
        Map<String, Object> tree = new LinkedHashMap<>();
        if (message instanceof PieceMessage.Request request) {
            tree.put(TYPE, "order");
            tree.put(NUMBER, request.number());
            encodePiece(request.piece(), tree);
        } else if (message instanceof PieceMessage.Cancel cancel) {
            tree.put(TYPE, "cancel");
            tree.put(NUMBER, cancel.number());
        } else if (message instanceof PieceMessage.Reply reply) {
            tree.put(TYPE, "done");
            tree.put(NUMBER, reply.number());
            encodeResult(reply.result(), tree);
        } else if (message instanceof PieceMessage.Release release) {
            tree.put(TYPE, "release");
            tree.put("handles", release.handles());
        } else if (message instanceof PieceMessage.PermitRequest request) {
            tree.put(TYPE, "permit");
            tree.put(NUMBER, request.number());
            tree.put("replica", request.replica());
        } else if (message instanceof PieceMessage.PermitAnswer answer) {
            tree.put(TYPE, "permitted");
            tree.put(NUMBER, answer.number());
            tree.put("granted", answer.reply().granted() ? 1L : 0L);
            tree.put("wait", answer.reply().waitMillis());
        } else if (message instanceof PieceMessage.Unknown unknown) {
            tree.put(TYPE, unknown.type());
        } else {
            tree.put(TYPE, message instanceof PieceMessage.Ping ? "ping" : "pong");
        }
        return MessagePackTree.write(tree);
    }

    /**
     * Decodes a frame.
     *
     * @return the message, or a description of the error in a malformed frame
     */
    public static Either<String, PieceMessage> decode(byte[] frame) {
        return MessagePackTree.read(frame).flatMap(PieceMessageCodec::decodeMessage);
    }

    private static Either<String, PieceMessage> decodeMessage(Object tree) {
        if (!(tree instanceof Map<?, ?> fields)) {
            return Either.left("not a map");
        }
        try {
            return Either.right(
                    switch (TreeFields.string(fields, TYPE)) {
                        case "order" ->
                                new PieceMessage.Request(
                                        TreeFields.number(fields, NUMBER), decodePiece(fields));
                        case "cancel" -> new PieceMessage.Cancel(TreeFields.number(fields, NUMBER));
                        case "done" ->
                                new PieceMessage.Reply(
                                        TreeFields.number(fields, NUMBER), decodeResult(fields));
                        case "release" -> new PieceMessage.Release(strings(fields, "handles"));
                        case "ping" -> new PieceMessage.Ping();
                        case "pong" -> new PieceMessage.Pong();
                        case "permit" ->
                                new PieceMessage.PermitRequest(
                                        TreeFields.number(fields, NUMBER),
                                        TreeFields.string(fields, "replica"));
                        case "permitted" ->
                                new PieceMessage.PermitAnswer(
                                        TreeFields.number(fields, NUMBER),
                                        new PermitReply(
                                                TreeFields.number(fields, "granted") == 1,
                                                TreeFields.number(fields, "wait")));
                        default -> new PieceMessage.Unknown(TreeFields.string(fields, TYPE));
                    });
        } catch (IllegalArgumentException e) {
            return Either.left(e.getMessage());
        }
    }

    private static void encodePiece(Piece piece, Map<String, Object> tree) {
        tree.put("request", piece.requestId());
        tree.put("stage", (long) piece.stage());
        tree.put("piece", (long) piece.number());
        tree.put("service", piece.service());
        tree.put("key", piece.key());
        tree.put("inputs", piece.inputs());
        tree.put("resultBytes", piece.resultBytes());
        tree.put("dataCentre", piece.dataCentre());
        tree.put("usefulFor", piece.deadlineAt());
        tree.put("dueIn", piece.dueAt());
        tree.put("priority", (long) piece.priority());
    }

    private static Piece decodePiece(Map<?, ?> fields) {
        return new Piece(
                TreeFields.string(fields, "request"),
                (int) TreeFields.number(fields, "stage"),
                (int) TreeFields.number(fields, "piece"),
                TreeFields.string(fields, "service"),
                TreeFields.string(fields, "key"),
                strings(fields, "inputs"),
                TreeFields.number(fields, "resultBytes"),
                TreeFields.string(fields, "dataCentre"),
                TreeFields.number(fields, "usefulFor"),
                TreeFields.number(fields, "dueIn"),
                (int) TreeFields.number(fields, "priority"));
    }

    private static void encodeResult(PieceResult result, Map<String, Object> tree) {
        if (result instanceof PieceResult.Completed completed) {
            tree.put("handle", completed.handle());
        } else {
            tree.put("reason", ((PieceResult.NotCompleted) result).reason().name());
        }
    }

    private static PieceResult decodeResult(Map<?, ?> fields) {
        return fields.containsKey("handle")
                ? new PieceResult.Completed(TreeFields.string(fields, "handle"))
                : new PieceResult.NotCompleted(
                        PieceResult.Reason.valueOf(TreeFields.string(fields, "reason")));
    }

    private static List<String> strings(Map<?, ?> fields, String name) {
        if (fields.get(name) instanceof List<?> list
                && list.stream().allMatch(String.class::isInstance)) {
            return list.stream().map(String.class::cast).toList();
        }
        throw new IllegalArgumentException(name + " is not a list of strings");
    }
}
