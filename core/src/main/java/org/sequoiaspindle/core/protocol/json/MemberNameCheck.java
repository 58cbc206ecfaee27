package org.sequoiaspindle.core.protocol.json;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import org.sequoiaspindle.core.coordination.configuration.ObjectNames;
import org.sequoiaspindle.core.coordination.configuration.ValidationProblem;
import org.sequoiaspindle.core.protocol.json.LocatedValue.LocatedObject;
import org.sequoiaspindle.core.protocol.json.LocatedValue.Member;

/** Finds unknown and duplicate member names in JSON objects. */
final class MemberNameCheck {

    private MemberNameCheck() {}

    /** Returns the problems of the member names, reported for the given kind and label. */
    static Vector<ValidationProblem> problems(
            LocatedObject source, Vector<String> knownNames, String kind, String label) {
        Set<String> seenNames = HashSet.empty();
        Vector<ValidationProblem> problems = Vector.empty();
        for (Member member : source.members()) {
            if (!knownNames.contains(member.name())) {
                problems = problems.append(unknown(member, knownNames, kind, label));
            } else if (seenNames.contains(member.name())) {
                problems = problems.append(duplicate(member, kind, label));
            }
            seenNames = seenNames.add(member.name());
        }
        return problems;
    }

    private static ValidationProblem unknown(
            Member member, Vector<String> knownNames, String kind, String label) {
        return new ValidationProblem(
                "unknown-field",
                kind,
                label,
                quotedIfMalformed(member.name()),
                "line %d: there is no such field; use one of %s"
                        .formatted(member.line(), knownNames.mkString(", ")));
    }

    private static ValidationProblem duplicate(Member member, String kind, String label) {
        return new ValidationProblem(
                "duplicate-field",
                kind,
                label,
                member.name(),
                "line %d: is written twice; remove one".formatted(member.line()));
    }

    private static String quotedIfMalformed(String name) {
        return ObjectNames.isWellFormed(name) ? name : ObjectNames.quoted(name);
    }
}
