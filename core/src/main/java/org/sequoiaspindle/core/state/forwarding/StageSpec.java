package org.sequoiaspindle.core.state.forwarding;

import java.util.List;

/**
 * Work that must be done before a request can run.
 *
 * @param number position in the route's list of stages, from 0
 * @param service service whose replicas make the pieces of this stage
 * @param dependsOn numbers of the stages whose results each piece needs
 * @param resultBytes approximate size of one result
 */
public record StageSpec(int number, String service, List<Integer> dependsOn, long resultBytes) {

    public StageSpec {
        dependsOn = List.copyOf(dependsOn);
    }
}
