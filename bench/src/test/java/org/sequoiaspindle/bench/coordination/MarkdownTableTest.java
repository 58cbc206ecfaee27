package org.sequoiaspindle.bench.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Vector;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.bench.state.RunResult;

/** Guards against values that appear in the column of another variant. */
final class MarkdownTableTest {

    @Test
    void eachVariantHasItsMedianAndRange() {
        Vector<RunResult> results =
                Vector.of(
                        result("naive", 1, 4),
                        result("chosen", 1, 7),
                        result("naive", 2, 9),
                        result("chosen", 2, 7),
                        result("naive", 3, 5));
        assertEquals(
                "## steady\n\n"
                        + "| metric | naive | chosen |\n"
                        + "| --- | --- | --- |\n"
                        + "| p99 | 5 (4-9) | 7 |\n",
                PolicyReport.markdown(results));
    }

    private static RunResult result(String variant, int round, double value) {
        return new RunResult("steady", variant, round, LinkedHashMap.of("p99", value));
    }
}
