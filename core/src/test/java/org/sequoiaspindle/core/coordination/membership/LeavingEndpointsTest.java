package org.sequoiaspindle.core.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against new calls to a leaving endpoint: a report from one source must not clear the
 * leaving flag that another source has set, and an older report must not clear a newer one.
 */
final class LeavingEndpointsTest {

    private static final Set<String> EMPTY = HashSet.empty();

    @Test
    void flagIsClearedOnlyByANewerReportOfTheSameSource() {
        LeavingEndpoints reportedAsLeaving =
                LeavingEndpoints.none()
                        .withInstanceList(HashSet.of("a:1"), 10)
                        .withResponse("b:1", true, 10)
                        .withPeerReport(PeerReports.report("1", "dc", 1, 10), HashSet.of("c:1"));
        LeavingEndpoints afterOlderReportsAndOtherSources =
                reportedAsLeaving
                        .withInstanceList(EMPTY, 9)
                        .withResponse("a:1", false, 20)
                        .withResponse("b:1", false, 10)
                        .withPeerReport(PeerReports.report("1", "dc", 1, 9), EMPTY)
                        .withPeerReport(PeerReports.report("2", "dc", 1, 20), EMPTY);
        assertEquals(HashSet.of("a:1", "b:1", "c:1"), afterOlderReportsAndOtherSources.addresses());
        LeavingEndpoints afterNewerReportsOfTheSameSources =
                afterOlderReportsAndOtherSources
                        .withInstanceList(EMPTY, 11)
                        .withResponse("b:1", false, 11)
                        .withPeerReport(PeerReports.report("1", "dc", 2, 1), EMPTY);
        assertTrue(afterNewerReportsOfTheSameSources.addresses().isEmpty());
    }

    @Test
    void flagsOfPeersAreNotEchoedAndEndWhenThePeerIsRemoved() {
        LeavingEndpoints reportedByPeer =
                LeavingEndpoints.none()
                        .withPeerReport(PeerReports.report("1", "dc", 1, 1), HashSet.of("c:1"));
        assertTrue(reportedByPeer.isLeaving("c:1"));
        assertTrue(reportedByPeer.locallyLearnedAddresses().isEmpty());
        assertFalse(reportedByPeer.retainPeers(EMPTY).isLeaving("c:1"));
    }
}
