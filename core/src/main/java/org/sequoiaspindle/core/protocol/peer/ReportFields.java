package org.sequoiaspindle.core.protocol.peer;

import io.vavr.Tuple;
import io.vavr.Tuple2;
import io.vavr.collection.HashMap;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.sequoiaspindle.core.coordination.membership.Contact;
import org.sequoiaspindle.core.coordination.membership.GroupLoad;
import org.sequoiaspindle.core.coordination.membership.PeerReport;
import org.sequoiaspindle.core.coordination.membership.PeerState;

/**
 * Fields of membership reports. Names are short because heartbeats are most of the control traffic
 * at rest.
 */
final class ReportFields {

    private ReportFields() {}

    static Map<String, Object> write(PeerReport report) {
        Map<String, Object> fields =
                Fields.of(
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

    static PeerReport read(Fields fields) throws MalformedMessageException {
        return new PeerReport(
                fields.text("i"),
                fields.text("dc"),
                fields.text("ad"),
                fields.number("inc"),
                fields.number("seq"),
                fields.number("gen"),
                fields.choice("st", PeerState.class),
                fields.has("ld")
                        ? HashMap.ofEntries(fields.list("ld", ReportFields::load))
                        : HashMap.empty());
    }

    private static Tuple2<String, GroupLoad> load(Object tree) throws MalformedMessageException {
        Fields fields = Fields.named(tree, "g", "a", "r", "q", "s");
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

    static PeerMessage.Summary.Entry entry(Object tree) throws MalformedMessageException {
        Fields fields = Fields.named(tree, "i", "ad", "inc", "seq", "gen", "st", "sus", "age");
        return new PeerMessage.Summary.Entry(
                fields.text("i"),
                fields.text("ad"),
                fields.number("inc"),
                fields.number("seq"),
                fields.number("gen"),
                fields.choice("st", PeerState.class),
                fields.flag("sus"),
                fields.number("age"));
    }

    static Map<String, Object> write(Contact contact) {
        Map<String, Object> fields = Fields.of("ad", contact.address());
        contact.dataCentre().forEach(dataCentre -> fields.put("dc", dataCentre));
        return fields;
    }

    static Contact contact(Object tree) throws MalformedMessageException {
        Fields fields = Fields.read(tree);
        return new Contact(
                fields.text("ad"), fields.has("dc") ? Option.of(fields.text("dc")) : Option.none());
    }
}
