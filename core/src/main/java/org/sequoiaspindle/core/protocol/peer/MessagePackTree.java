package org.sequoiaspindle.core.protocol.peer;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads and writes MessagePack as a tree of Long, String, Boolean, byte[], List and Map with text
 * keys. Values of other types are read as null, so that later versions may send such values.
 */
public final class MessagePackTree {

    /** Limits the recursion of the reader. Valid messages nest four levels deep. */
    private static final int MAX_DEPTH = 8;

    /** Limits the memory that a small frame with many empty values can occupy. */
    private static final int MAX_VALUES = 65_536;

    private final MessageUnpacker unpacker;
    private final long length;
    private int valuesRead;

    private MessagePackTree(MessageUnpacker unpacker, long length) {
        this.unpacker = unpacker;
        this.length = length;
    }

    /** Encodes a tree of the types listed above. */
    public static byte[] write(Object tree) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            pack(packer, tree);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("packing into memory failed", e);
        }
    }

    /** Decodes a frame, or returns the reason why the frame is malformed. */
    public static Either<String, Object> read(byte[] frame) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame)) {
            Object tree = new MessagePackTree(unpacker, frame.length).readValue(0);
            return unpacker.getTotalReadBytes() == frame.length
                    ? Either.right(tree)
                    : Either.left("the frame has bytes after the message");
        } catch (MalformedMessageException e) {
            return Either.left(e.getMessage());
        } catch (IOException | MessagePackException e) {
            return Either.left("not MessagePack: " + e.getClass().getSimpleName());
        }
    }

    private static void pack(MessageBufferPacker packer, Object tree) throws IOException {
        if (tree instanceof Number number) {
            packer.packLong(number.longValue());
        } else if (tree instanceof String text) {
            packer.packString(text);
        } else if (tree instanceof Boolean flag) {
            packer.packBoolean(flag);
        } else if (tree instanceof byte[] bytes) {
            packer.packBinaryHeader(bytes.length);
            packer.writePayload(bytes);
        } else if (tree instanceof List<?> list) {
            packer.packArrayHeader(list.size());
            for (Object element : list) {
                pack(packer, element);
            }
        } else if (tree instanceof Map<?, ?> map) {
            packer.packMapHeader(map.size());
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                pack(packer, entry.getKey());
                pack(packer, entry.getValue());
            }
        } else {
            throw new IllegalArgumentException("no MessagePack type for " + tree);
        }
    }

    private Object readValue(int depth) throws IOException, MalformedMessageException {
        valuesRead++;
        require(depth <= MAX_DEPTH, "the message is nested too deeply");
        require(valuesRead <= MAX_VALUES, "the message has too many values");
        switch (unpacker.getNextFormat().getValueType()) {
            case INTEGER:
                return unpacker.unpackLong();
            case BOOLEAN:
                return unpacker.unpackBoolean();
            case STRING:
                return new String(
                        readBytes(unpacker.unpackRawStringHeader()), StandardCharsets.UTF_8);
            case BINARY:
                return readBytes(unpacker.unpackBinaryHeader());
            case ARRAY:
                return readArray(unpacker.unpackArrayHeader(), depth);
            case MAP:
                return readMap(unpacker.unpackMapHeader(), depth);
            case EXTENSION:
                readBytes(unpacker.unpackExtensionTypeHeader().getLength());
                return null;
            default:
                unpacker.skipValue();
                return null;
        }
    }

    private List<Object> readArray(int size, int depth)
            throws IOException, MalformedMessageException {
        List<Object> list = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            list.add(readValue(depth + 1));
        }
        return list;
    }

    private Map<String, Object> readMap(int size, int depth)
            throws IOException, MalformedMessageException {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < size; i++) {
            Object key = readValue(depth + 1);
            Object value = readValue(depth + 1);
            if (key instanceof String text) {
                map.put(text, value);
            }
        }
        return map;
    }

    private byte[] readBytes(int size) throws IOException, MalformedMessageException {
        // Checked before the array is allocated, because a header may claim a length of up to 4
        // GiB.
        require(
                size >= 0 && size <= length - unpacker.getTotalReadBytes(),
                "a text or binary value is longer than the frame");
        return unpacker.readPayload(size);
    }

    private static void require(boolean condition, String message)
            throws MalformedMessageException {
        if (!condition) {
            throw new MalformedMessageException(message);
        }
    }
}
