package org.sequoiaspindle.core.protocol.peer;

import io.vavr.Tuple;
import io.vavr.Tuple2;
import io.vavr.collection.HashMap;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.sequoiaspindle.core.coordination.membership.GroupLoad;
import org.sequoiaspindle.core.coordination.membership.PeerAddress;
import org.sequoiaspindle.core.coordination.membership.PeerReport;
import org.sequoiaspindle.core.coordination.membership.PeerState;

/**
 * Converts membership reports to message fields and back. Field names are short because heartbeats
 * make up most of the control traffic of an idle system.
 */
final class ReportFieldCodec {

    private ReportFieldCodec() {}

    static Map<String, Object> write(PeerReport report) {
        Map<String, Object> fields =
                MessageFields.of(
                        "i", report.instance(),
                        "dc", report.dataCentre(),
                        "ad", report.address(),
                        "inc", report.incarnation(),
                        "seq", report.sequence(),
                        "gen", report.generation(),
                        "st", report.state().ordinal());
        if (report.load().nonEmpty()) {
            List<Object> load = new ArrayList<>();
            report.load().forEach((group, value) -> load.add(write(group, value)));
            fields.put("ld", load);
        }
        return fields;
    }

    private static List<Object> write(String group, GroupLoad load) {
        return List.of(group, load.arrivals(), load.running(), load.queued(), load.slots());
    }

    static PeerReport read(MessageFields fields) throws MalformedMessageException {
        return new PeerReport(
                fields.text("i"),
                fields.text("dc"),
                fields.text("ad"),
                fields.number("inc"),
                fields.number("seq"),
                fields.number("gen"),
                fields.enumConstant("st", PeerState.class),
                fields.has("ld")
                        ? HashMap.ofEntries(fields.list("ld", ReportFieldCodec::readLoad))
                        : HashMap.empty());
    }

    private static Tuple2<String, GroupLoad> readLoad(Object tree)
            throws MalformedMessageException {
        MessageFields fields = MessageFields.fromArray(tree, "g", "a", "r", "q", "s");
        return Tuple.of(
                fields.text("g"),
                new GroupLoad(
                        fields.integer("a"),
                        fields.integer("r"),
                        fields.integer("q"),
                        fields.integer("s")));
    }

    static List<Object> write(PeerMessage.Summary.Entry entry) {
        return List.of(
                entry.instance(),
                entry.address(),
                entry.incarnation(),
                entry.sequence(),
                entry.generation(),
                entry.state().ordinal(),
                entry.suspected(),
                entry.ageMillis());
    }

    static PeerMessage.Summary.Entry readEntry(Object tree) throws MalformedMessageException {
        MessageFields fields =
                MessageFields.fromArray(tree, "i", "ad", "inc", "seq", "gen", "st", "sus", "age");
        return new PeerMessage.Summary.Entry(
                fields.text("i"),
                fields.text("ad"),
                fields.number("inc"),
                fields.number("seq"),
                fields.number("gen"),
                fields.enumConstant("st", PeerState.class),
                fields.flag("sus"),
                fields.number("age"));
    }

    static Map<String, Object> write(PeerAddress peerAddress) {
        Map<String, Object> fields = MessageFields.of("ad", peerAddress.address());
        peerAddress.dataCentre().forEach(dataCentre -> fields.put("dc", dataCentre));
        return fields;
    }

    static PeerAddress readPeerAddress(Object tree) throws MalformedMessageException {
        MessageFields fields = MessageFields.fromMap(tree);
        return new PeerAddress(
                fields.text("ad"), fields.has("dc") ? Option.of(fields.text("dc")) : Option.none());
    }
}
