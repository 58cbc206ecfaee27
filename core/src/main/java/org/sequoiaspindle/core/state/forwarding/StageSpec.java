package org.sequoiaspindle.core.state.forwarding;

import java.util.List;

/**
 * A processing step that must complete before a request is sent to a replica.
 *
 * @param number position in the route's list of stages, from 0
 * @param service service whose replicas compute the pieces of this stage
 * @param dependsOn numbers of the stages whose results are inputs of each piece
 * @param resultBytes approximate size of one result
 */
public record StageSpec(int number, String service, List<Integer> dependsOn, long resultBytes) {

    public StageSpec {
        dependsOn = List.copyOf(dependsOn);
    }
}
