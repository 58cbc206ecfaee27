package org.sequoiaspindle.core.protocol.publication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/**
 * Tests that a head survives writing and reading unchanged, and that invalid input never makes the
 * reader throw.
 */
final class ConfigurationHeadCodecTest {
    private static final ConfigurationHead HEAD =
            new ConfigurationHead(
                    7,
                    "submission",
                    "operator",
                    1,
                    Vector.of("submission@7", "earlier@6"),
                    Vector.of(
                            new ConfigurationHead.PartReference(
                                    "endpoints", 3, Sha256.of("part"))));

    @Property(tries = 300, seed = "1")
    void writtenHeadIsReadBackUnchanged(
            @ForAll @LongRange(min = 1) long generation,
            @ForAll String submission,
            @ForAll String operator,
            @ForAll @IntRange(min = 0) int bucket) {
        ConfigurationHead head =
                new ConfigurationHead(
                        generation,
                        submission,
                        operator,
                        generation,
                        Vector.of(submission, operator),
                        Vector.of(
                                new ConfigurationHead.PartReference(
                                        operator, bucket, Sha256.of(submission))));
        assertEquals(Either.right(head), HeadReader.read(HeadWriter.write(head)));
    }

    @Property(tries = 500, seed = "2")
    void readerNeverThrowsOnArbitraryText(@ForAll String text) {
        assertTrue(HeadReader.read(text).isLeft());
    }

    @Property(tries = 500, seed = "3")
    void readerNeverThrowsOnACorruptHead(
            @ForAll @IntRange(min = 0, max = 400) int position, @ForAll char replacement) {
        String text = HeadWriter.write(HEAD);
        int index = position % text.length();
        HeadReader.read(text.substring(0, index));
        HeadReader.read(text.substring(0, index) + replacement + text.substring(index + 1));
    }

    @Test
    void headWithAnInvalidFieldIsRejected() {
        String text = HeadWriter.write(HEAD);
        assertTrue(HeadReader.read(text).isRight());
        assertTrue(HeadReader.read(text.replace(":7,", ":0,")).isLeft());
        assertTrue(HeadReader.read(text.replace(":7,", ":7.5,")).isLeft());
        assertTrue(HeadReader.read(text.replace("\"bucket\":3", "\"bucket\":-1")).isLeft());
        assertTrue(HeadReader.read(text.replace(Sha256.of("part"), "../head")).isLeft());
        assertTrue(HeadReader.read(text + text).isLeft());
        assertTrue(HeadReader.read("[".repeat(100_000)).isLeft());
    }
}
