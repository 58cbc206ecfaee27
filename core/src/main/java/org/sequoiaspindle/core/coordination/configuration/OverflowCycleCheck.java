package org.sequoiaspindle.core.coordination.configuration;

import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import org.sequoiaspindle.core.state.EndpointGroup;
import org.sequoiaspindle.core.state.ObjectSet;

/** Finds cycles in the overflow references between endpoint groups. */
final class OverflowCycleCheck {

    private OverflowCycleCheck() {}

    /**
     * Returns one problem for each cycle, reported for the group in the cycle whose name comes
     * first.
     */
    static Vector<ValidationProblem> check(ObjectSet set) {
        Map<String, EndpointGroup> groups =
                set.endpointGroups().toMap(EndpointGroup::name, group -> group);
        return groups.keySet()
                .toVector()
                .map(name -> overflowChain(name, groups))
                .filter(chain -> isCycle(chain, groups))
                .filter(chain -> chain.min().contains(chain.head()))
                .map(OverflowCycleCheck::problem);
    }

    private static Vector<String> overflowChain(String start, Map<String, EndpointGroup> groups) {
        Vector<String> chain = Vector.of(start);
        var nextGroup = groups.get(start).flatMap(EndpointGroup::overflow);
        while (nextGroup.isDefined() && !chain.contains(nextGroup.get())) {
            chain = chain.append(nextGroup.get());
            nextGroup = groups.get(nextGroup.get()).flatMap(EndpointGroup::overflow);
        }
        return chain;
    }

    private static boolean isCycle(Vector<String> chain, Map<String, EndpointGroup> groups) {
        return groups.get(chain.last()).flatMap(EndpointGroup::overflow).contains(chain.head());
    }

    private static ValidationProblem problem(Vector<String> chain) {
        String path = chain.append(chain.head()).map(ObjectNames::quoted).mkString(" -> ");
        return new ValidationProblem(
                "overflow-cycle",
                ObjectKind.ENDPOINT_GROUPS.name(),
                ObjectNames.labelOf(chain.head(), 1),
                "overflow",
                "the overflows form a cycle " + path + "; remove one of them");
    }
}
