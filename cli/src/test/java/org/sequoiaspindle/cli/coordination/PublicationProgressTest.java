package org.sequoiaspindle.cli.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.sequoiaspindle.cli.state.PublishReport;
import org.sequoiaspindle.cli.state.PublishReport.Result;

/** Guards against endless retries and against "not run" for an object set that may be active. */
final class PublicationProgressTest {

    @Property(seed = "20261204")
    void publicationEndsAfterAtMostThreeRetries(@ForAll @Size(4) List<Result> results) {
        PublicationProgress finalProgress = progress(results);

        assertTrue(finalProgress.finalReport().isDefined());
        assertTrue(finalProgress.finishedAttempts() <= 1 + PublicationProgress.MAX_RETRIES);
    }

    @Property(seed = "20261204")
    void publicationWithAnUnknownAttemptIsNeverReportedAsNotRun(
            @ForAll @Size(4) List<Result> results) {
        PublicationProgress finalProgress = progress(results);

        if (finalProgress.mayHaveTakenEffect()) {
            assertNotEquals(Result.NOT_RUN, finalProgress.finalReport().get().result());
        } else {
            assertEquals(results.get(0), finalProgress.finalReport().get().result());
        }
    }

    private static PublicationProgress progress(List<Result> results) {
        PublicationProgress progress = PublicationProgress.start("s");
        for (Result result : results) {
            if (progress.finalReport().isEmpty()) {
                progress = progress.afterAttempt(PublishReport.of(result, "other", ""));
            }
        }
        return progress;
    }
}
