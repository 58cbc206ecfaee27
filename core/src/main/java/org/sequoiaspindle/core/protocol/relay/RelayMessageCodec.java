package org.sequoiaspindle.core.protocol.relay;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sequoiaspindle.core.protocol.peer.MessagePackTree;
import org.sequoiaspindle.core.protocol.peer.TreeFields;
import org.sequoiaspindle.core.protocol.store.StoreChange;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;
import org.sequoiaspindle.core.protocol.store.StoreValue;

/**
 * Encodes a {@link RelayMessage} in MessagePack, as a map with the type and the fields. Unknown
 * fields are ignored, so that later versions may add some.
 */
public final class RelayMessageCodec {

    private static final String TYPE = "type";
    private static final String NUMBER = "number";
    private static final String REVISION = "revision";

    /** Elements of a change in a list: key, revision and, unless the key was removed, the value. */
    private static final int CHANGE_ELEMENTS_WITH_VALUE = 3;

    private RelayMessageCodec() {}

    public static byte[] encode(RelayMessage message) {
        Map<String, Object> tree = new LinkedHashMap<>();
        tree.put(NUMBER, message.number());
        if (message instanceof RelayMessage.Query query) {
            encodeCommand(query.command(), tree);
        } else {
            encodeResult(((RelayMessage.Reply) message).result(), tree);
        }
        return MessagePackTree.write(tree);
    }

    /**
     * Decodes a frame.
     *
     * @return the message, or a description of the error in a malformed frame
     */
    public static Either<String, RelayMessage> decode(byte[] frame) {
        return MessagePackTree.read(frame).flatMap(RelayMessageCodec::decodeMessage);
    }

    private static void encodeCommand(StoreCommand command, Map<String, Object> tree) {
        if (command instanceof StoreCommand.ReadNewer read) {
            tree.put(TYPE, "read");
            tree.put("key", read.key());
            tree.put("known", read.knownRevision());
        } else if (command instanceof StoreCommand.ListItems list) {
            tree.put(TYPE, "list");
            tree.put("prefix", list.prefix());
            tree.put("after", list.after());
        } else if (command instanceof StoreCommand.AwaitChanges watch) {
            tree.put(TYPE, "watch");
            tree.put("prefix", watch.prefix());
            tree.put(REVISION, watch.afterRevision());
            tree.put("waitMs", watch.waitMillis());
        } else {
            throw new IllegalArgumentException("not a command that only reads: " + command);
        }
    }

    private static void encodeResult(StoreResult result, Map<String, Object> tree) {
        if (result instanceof StoreResult.Listed listed) {
            tree.put(TYPE, "listed");
            tree.put("more", listed.more());
            tree.put(REVISION, listed.revision());
            tree.put("items", encodeChanges(listed.items()));
        } else if (result instanceof StoreResult.Changed changed) {
            tree.put(TYPE, "changed");
            tree.put(REVISION, changed.revision());
            tree.put("items", encodeChanges(changed.changes()));
        } else if (result instanceof StoreResult.HistoryLost) {
            tree.put(TYPE, "historyLost");
        } else {
            tree.put(TYPE, "unavailable");
            tree.put("reason", String.valueOf(result));
        }
    }

    private static List<Object> encodeChanges(Vector<? extends StoreChange> changes) {
        List<Object> encoded = new ArrayList<>();
        for (StoreChange change : changes) {
            encoded.add(
                    change instanceof StoreChange.Written written
                            ? List.of(written.key(), written.revision(), written.value().bytes())
                            : List.of(change.key(), change.revision()));
        }
        return encoded;
    }

    private static Either<String, RelayMessage> decodeMessage(Object tree) {
        if (!(tree instanceof Map<?, ?> fields)) {
            return Either.left("not a map");
        }
        try {
            long number = TreeFields.number(fields, NUMBER);
            return Either.right(
                    switch (TreeFields.string(fields, TYPE)) {
                        case "read" ->
                                new RelayMessage.Query(
                                        number,
                                        new StoreCommand.ReadNewer(
                                                TreeFields.string(fields, "key"),
                                                TreeFields.number(fields, "known")));
                        case "list" ->
                                new RelayMessage.Query(
                                        number,
                                        new StoreCommand.ListItems(
                                                TreeFields.string(fields, "prefix"),
                                                TreeFields.string(fields, "after")));
                        case "watch" ->
                                new RelayMessage.Query(
                                        number,
                                        new StoreCommand.AwaitChanges(
                                                TreeFields.string(fields, "prefix"),
                                                TreeFields.number(fields, REVISION),
                                                TreeFields.number(fields, "waitMs")));
                        default -> new RelayMessage.Reply(number, decodeResult(fields));
                    });
        } catch (IllegalArgumentException e) {
            return Either.left(e.getMessage());
        }
    }

    private static StoreResult decodeResult(Map<?, ?> fields) {
        return switch (TreeFields.string(fields, TYPE)) {
            case "listed" ->
                    new StoreResult.Listed(
                            decodeChanges(fields).map(RelayMessageCodec::requireWritten),
                            Boolean.TRUE.equals(fields.get("more")),
                            TreeFields.number(fields, REVISION));
            case "changed" ->
                    new StoreResult.Changed(
                            decodeChanges(fields), TreeFields.number(fields, REVISION));
            case "historyLost" -> new StoreResult.HistoryLost();
            case "unavailable" -> new StoreResult.Unavailable(TreeFields.string(fields, "reason"));
            default -> throw new IllegalArgumentException("unknown type");
        };
    }

    private static Vector<StoreChange> decodeChanges(Map<?, ?> fields) {
        if (!(fields.get("items") instanceof List<?> items)) {
            throw new IllegalArgumentException("items is not a list");
        }
        return Vector.ofAll(items).map(RelayMessageCodec::decodeChange);
    }

    private static StoreChange decodeChange(Object item) {
        if (!(item instanceof List<?> elements)
                || elements.size() < CHANGE_ELEMENTS_WITH_VALUE - 1
                || !(elements.get(0) instanceof String key)
                || !(elements.get(1) instanceof Long revision)) {
            throw new IllegalArgumentException("an item is not a key with a revision");
        }
        if (elements.size() < CHANGE_ELEMENTS_WITH_VALUE) {
            return new StoreChange.Removed(key, revision);
        }
        if (elements.get(CHANGE_ELEMENTS_WITH_VALUE - 1) instanceof byte[] value) {
            return new StoreChange.Written(key, StoreValue.of(value), revision);
        }
        throw new IllegalArgumentException("the value of an item is not binary");
    }

    private static StoreChange.Written requireWritten(StoreChange change) {
        if (change instanceof StoreChange.Written written) {
            return written;
        }
        throw new IllegalArgumentException("a listing contains an item without a value");
    }
}
