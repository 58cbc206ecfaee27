package org.sequoiaspindle.core.protocol.json;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.Vector;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.coordination.configuration.ConsistentObjectSets;
import org.sequoiaspindle.core.coordination.configuration.ValidationProblem;
import org.sequoiaspindle.core.state.ObjectSet;

/**
 * Checks that object sets are read as they were written, and that all structural errors are
 * reported together.
 */
final class ObjectSetReaderTest {

    @Property(seed = "20261204")
    void writtenSetIsReadBackWithTheSameObjects(@ForAll("sets") ObjectSet set) {
        ObjectSet readFromCompactDocument = ObjectSetReader.read(ObjectSetWriter.write(set)).get();
        ObjectSet readFromIndentedDocument =
                ObjectSetReader.read(ObjectSetWriter.writePretty(set)).get();

        assertEquals(sorted(set), readFromCompactDocument);
        assertEquals(readFromCompactDocument, readFromIndentedDocument);
    }

    @Property(seed = "20261204")
    void orderOfObjectsDoesNotChangeTheCanonicalDocument(@ForAll("sets") ObjectSet set) {
        ObjectSet reversedSet =
                new ObjectSet(
                        set.organisations().reverse(),
                        set.operators().reverse(),
                        set.endpointGroups().reverse(),
                        set.endpoints().reverse(),
                        set.stages().reverse(),
                        set.pipelines().reverse(),
                        set.routingRules().reverse());

        assertEquals(ObjectSetWriter.write(set), ObjectSetWriter.write(reversedSet));
    }

    @Property(seed = "20261204")
    void noStringMakesTheReaderThrow(@ForAll("strings") String document) {
        assertNotNull(ObjectSetReader.read(document));
    }

    @Property(seed = "20261204")
    void corruptDocumentNeverMakesTheReaderThrow(
            @ForAll("sets") ObjectSet set, @ForAll int position, @ForAll char replacement) {
        StringBuilder document = new StringBuilder(ObjectSetWriter.write(set));
        document.setCharAt(Math.floorMod(position, document.length()), replacement);

        assertNotNull(ObjectSetReader.read(document.toString()));
    }

    @Test
    void commentsAndTrailingCommasAreAccepted() {
        String document =
                """
                // head
                {
                  /* nobody yet */ "organisations": [],
                  "operators": [{"name": "ops", "secretHash": "x",},],
                }
                """;

        assertEquals("ops", ObjectSetReader.read(document).get().operators().head().name());
    }

    @Test
    void everyStructuralErrorIsReportedWithItsLine() {
        String document =
                """
                {
                  "organisations": [
                    {"name": 5, "secretHash": "x", "weight": "1", "maxConcurrent": 1.5},
                    {"name": "b", "secretHash": "x", "weight": 1, "weight": 2}
                  ],
                  "endpointGroups": [
                    {"name": "g", "kind": "motor"},
                    7
                  ],
                  "endpoints": {},
                  "stages": [
                    {"name": "s", "endpointGroup": "g", "idempotent": null, "streams": true,
                     "expectedMs": 99999999999, "longOverTokens": 1, "colour": "red"}
                  ],
                  "pipelines": [
                    {"name": "p", "stages": ["s", 1], "deadlineMs": 1, "organisations": "all"}
                  ],
                  "routes": []
                }
                """;

        assertEquals(
                Vector.of(
                        "wrong-type organisations #1 name line 3",
                        "wrong-type organisations #1 weight line 3",
                        "wrong-type organisations #1 maxConcurrent line 3",
                        "missing-field organisations b maxConcurrent line 4",
                        "duplicate-field organisations b weight line 4",
                        "wrong-value endpointGroups g kind line 7",
                        "wrong-type endpointGroups #2  line 8",
                        "wrong-type endpoints   line 10",
                        "wrong-type stages s idempotent line 12",
                        "out-of-range stages s expectedMs line 13",
                        "unknown-field stages s colour line 13",
                        "wrong-type pipelines p stages line 16",
                        "wrong-type pipelines p organisations line 16",
                        "unknown-field   routes line 18"),
                ObjectSetReader.read(document).getLeft().map(ObjectSetReaderTest::summary));
    }

    @Test
    void syntaxErrorIsReportedWithItsLine() {
        ValidationProblem problem = ObjectSetReader.read("{\n\"stages\": [\n}").getLeft().head();

        assertEquals("malformed-json", problem.code());
        assertTrue(problem.message().startsWith("line 3: "), problem.message());
    }

    @Test
    void deepNestingIsRefused() {
        String document = "{\"stages\":" + "[".repeat(100_000);

        assertEquals("malformed-json", ObjectSetReader.read(document).getLeft().head().code());
    }

    @Test
    void oversizedDocumentIsRefused() {
        String document = " ".repeat(LocatedValueParser.MAX_DOCUMENT_CHARACTERS + 1);

        assertEquals("too-large", ObjectSetReader.read(document).getLeft().head().code());
    }

    @Provide
    Arbitrary<ObjectSet> sets() {
        return ConsistentObjectSets.arbitrary();
    }

    @Provide
    Arbitrary<String> strings() {
        Arbitrary<String> fragments =
                Arbitraries.of(
                        "{",
                        "}",
                        "[",
                        "]",
                        ",",
                        ":",
                        "\"stages\"",
                        "\"name\"",
                        "1",
                        "-",
                        "1e9",
                        "null",
                        "true",
                        "//",
                        "/*",
                        "*/",
                        "\n",
                        "\\u00",
                        "\"",
                        "\u001b",
                        "\ud800");
        return Arbitraries.oneOf(
                Arbitraries.strings().ofMaxLength(40),
                fragments.list().ofMaxSize(30).map(parts -> String.join("", parts)));
    }

    private static String summary(ValidationProblem problem) {
        String line = problem.message().substring(0, problem.message().indexOf(':'));
        return String.join(
                " ", problem.code(), problem.kind(), problem.objectName(), problem.field(), line);
    }

    private static ObjectSet sorted(ObjectSet set) {
        return new ObjectSet(
                set.organisations().sortBy(o -> o.name()),
                set.operators().sortBy(o -> o.name()),
                set.endpointGroups().sortBy(o -> o.name()),
                set.endpoints().sortBy(o -> o.name()),
                set.stages().sortBy(o -> o.name()),
                set.pipelines().sortBy(o -> o.name()),
                set.routingRules().sortBy(o -> o.name()));
    }
}
