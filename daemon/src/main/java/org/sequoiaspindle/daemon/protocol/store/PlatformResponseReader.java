package org.sequoiaspindle.daemon.protocol.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.collection.Iterator;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.sequoiaspindle.core.protocol.peer.InstanceListEntry;
import org.sequoiaspindle.daemon.protocol.DaemonJson;

/** Parses the JSON bodies of the platform's responses. */
public final class PlatformResponseReader {

    private PlatformResponseReader() {}

    /**
     * Reads the lease id from the response to the creation of a lease; returns none if the response
     * is malformed.
     */
    public static Option<Long> readLeaseId(byte[] body) {
        return DaemonJson.parseObject(body).flatMap(node -> DaemonJson.longField(node, "lease"));
    }

    /** Reads the entries of the instance list {@code [{kind,address,dataCentre,leaving}]}. */
    public static Either<String, Vector<InstanceListEntry>> readInstances(byte[] body) {
        Option<JsonNode> array = DaemonJson.parseArray(body);
        if (array.isEmpty()) {
            return Either.left("malformed instance list");
        }
        Vector<Option<InstanceListEntry>> entries =
                Iterator.ofAll(array.get()).map(PlatformResponseReader::parseInstance).toVector();
        return entries.forAll(Option::isDefined)
                ? Either.right(entries.flatMap(entry -> entry))
                : Either.left("malformed entry in the instance list");
    }

    private static Option<InstanceListEntry> parseInstance(JsonNode node) {
        Option<InstanceListEntry.Kind> kind =
                DaemonJson.stringField(node, "kind").flatMap(PlatformResponseReader::parseKind);
        Option<String> address = DaemonJson.stringField(node, "address");
        Option<String> dataCentre = DaemonJson.stringField(node, "dataCentre");
        if (kind.isEmpty() || address.isEmpty() || dataCentre.isEmpty()) {
            return Option.none();
        }
        boolean leaving = node.path("leaving").asBoolean(false);
        return Option.of(
                new InstanceListEntry(kind.get(), address.get(), dataCentre.get(), leaving));
    }

    private static Option<InstanceListEntry.Kind> parseKind(String text) {
        return switch (text) {
            case "entry" -> Option.of(InstanceListEntry.Kind.ENTRY);
            case "endpoint" -> Option.of(InstanceListEntry.Kind.ENDPOINT);
            default -> Option.none();
        };
    }
}
