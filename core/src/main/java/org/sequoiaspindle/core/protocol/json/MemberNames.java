package org.sequoiaspindle.core.protocol.json;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import org.sequoiaspindle.core.coordination.configuration.ObjectNames;
import org.sequoiaspindle.core.coordination.configuration.Problem;
import org.sequoiaspindle.core.protocol.json.LocatedValue.LocatedObject;
import org.sequoiaspindle.core.protocol.json.LocatedValue.Member;

/** Finds members of JSON objects whose names are unknown or occur twice. */
final class MemberNames {

    private MemberNames() {}

    /** Problems of the member names, reported for the given kind and object. */
    static Vector<Problem> stray(
            LocatedObject source, Vector<String> known, String kind, String label) {
        Set<String> seen = HashSet.empty();
        Vector<Problem> problems = Vector.empty();
        for (Member member : source.members()) {
            if (!known.contains(member.name())) {
                problems = problems.append(unknown(member, known, kind, label));
            } else if (seen.contains(member.name())) {
                problems = problems.append(duplicate(member, kind, label));
            }
            seen = seen.add(member.name());
        }
        return problems;
    }

    private static Problem unknown(Member member, Vector<String> known, String kind, String label) {
        return new Problem(
                "unknown-field",
                kind,
                label,
                shown(member.name()),
                "line %d: there is no such field; use one of %s"
                        .formatted(member.line(), known.mkString(", ")));
    }

    private static Problem duplicate(Member member, String kind, String label) {
        return new Problem(
                "duplicate-field",
                kind,
                label,
                member.name(),
                "line %d: is written twice; remove one".formatted(member.line()));
    }

    private static String shown(String name) {
        return ObjectNames.isWellFormed(name) ? name : ObjectNames.quoted(name);
    }
}
