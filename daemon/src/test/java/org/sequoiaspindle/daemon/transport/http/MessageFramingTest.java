package org.sequoiaspindle.daemon.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpMessage;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.daemon.transport.http.MessageFraming.Result;

/** Guards against bodies whose bytes are read as further messages. */
final class MessageFramingTest {

    private static final int MIN_CORPUS_SIZE = 200;
    private static final int MAX_BYTES = 4_096;

    /** Values of one or two fields, separated by a vertical bar, and what they must get. */
    private static final Map<String, Result> CODINGS = new LinkedHashMap<>();

    static {
        for (String sound : List.of("chunked", "\tchunked", "chunked ", " \tchunked\t ")) {
            CODINGS.put(sound, Result.CLEAR);
        }
        for (String coding : List.of("gzip", "x-chunked", "deflate", "identity", "gzip;q=1")) {
            CODINGS.put(coding, Result.AMBIGUOUS);
            CODINGS.put("chunked, " + coding, Result.AMBIGUOUS);
            CODINGS.put("chunked|" + coding, Result.AMBIGUOUS);
            CODINGS.put(coding + ",", Result.AMBIGUOUS);
            CODINGS.put(coding + ", chunked,", Result.AMBIGUOUS);
            CODINGS.put(coding + ",, chunked", Result.AMBIGUOUS);
            CODINGS.put(coding + ", chunked", Result.UNSUPPORTED_CODING);
            CODINGS.put(coding + "\t,\tchunked", Result.UNSUPPORTED_CODING);
            CODINGS.put(coding + "|chunked", Result.UNSUPPORTED_CODING);
        }
        for (String unsound :
                List.of(
                        "",
                        ",",
                        ", chunked",
                        "chunked,",
                        "chunked, chunked",
                        "chunked|chunked",
                        "chunked;",
                        "chunked;q=1",
                        "chunked; name=value",
                        "\"chunked\"",
                        "chunked chunked",
                        "chun ked",
                        "chunked\u000b",
                        "\u000bchunked",
                        "chunkedx",
                        "xchunked",
                        "chunke",
                        "0",
                        "|chunked",
                        "chunked|")) {
            CODINGS.put(unsound, Result.AMBIGUOUS);
        }
    }

    private static final Map<String, Result> LENGTHS =
            Map.of(
                    "Content-Length: 5\r\n", Result.CLEAR,
                    "Content-Length: 0\r\n", Result.CLEAR,
                    "", Result.CLEAR,
                    "Content-Length: 5\r\nContent-Length: 5\r\n", Result.AMBIGUOUS,
                    "Content-Length: 5\r\nContent-Length: 6\r\n", Result.AMBIGUOUS,
                    "Content-Length: 5,5\r\n", Result.AMBIGUOUS,
                    "Content-Length: +5\r\n", Result.AMBIGUOUS,
                    "Content-Length: -5\r\n", Result.AMBIGUOUS,
                    "Content-Length: 0x5\r\n", Result.AMBIGUOUS,
                    "Content-Length:\r\n", Result.AMBIGUOUS);

    /** Fields of a head, and what they must get on HTTP/1.1. */
    private static Map<String, Result> corpus() {
        Map<String, Result> corpus = new LinkedHashMap<>(LENGTHS);
        CODINGS.forEach(
                (codings, result) -> {
                    corpus.put(fields("Transfer-Encoding", codings), result);
                    corpus.put(fields("TRANSFER-encoding", upperCase(codings)), result);
                    corpus.put(
                            "Content-Length: 5\r\n" + fields("Transfer-Encoding", codings),
                            Result.AMBIGUOUS);
                    corpus.put(
                            fields("Transfer-Encoding", codings) + "Content-Length: 5\r\n",
                            Result.AMBIGUOUS);
                });
        return corpus;
    }

    private static String upperCase(String codings) {
        return codings.toUpperCase(Locale.ROOT);
    }

    private static String fields(String name, String values) {
        StringBuilder fields = new StringBuilder();
        for (String value : values.split("\\|", -1)) {
            fields.append(name).append(": ").append(value).append("\r\n");
        }
        return fields.toString();
    }

    @Test
    void eachHeadOfTheCorpusGetsWhatItMust() {
        Map<String, Result> corpus = corpus();
        assertTrue(corpus.size() >= MIN_CORPUS_SIZE, "heads: " + corpus.size());
        corpus.forEach(
                (fields, expected) -> {
                    assertEquals(expected, ofRequest("1.1", fields), "request: " + fields);
                    assertEquals(expected, ofResponse("1.1", fields), "response: " + fields);
                });
    }

    @Test
    void transferCodingIsNeverClearOnTheOlderVersion() {
        CODINGS.keySet()
                .forEach(
                        codings -> {
                            String fields = fields("Transfer-Encoding", codings);
                            assertEquals(Result.AMBIGUOUS, ofRequest("1.0", fields), fields);
                            assertEquals(Result.AMBIGUOUS, ofResponse("1.0", fields), fields);
                        });
    }

    /** Compares with the grammar: one element, which is the coding without regard to case. */
    @Property(seed = "350401", tries = 2_000)
    void onlyChunkedAloneIsClear(
            @ForAll @Size(min = 1, max = 4) List<@IntRange(min = 0, max = 10) Integer> choices,
            @ForAll boolean severalFields) {
        List<String> elements =
                List.of(
                        "chunked",
                        "Chunked",
                        " chunked\t",
                        "gzip",
                        "",
                        " ",
                        "identity",
                        "chunked;a=b",
                        "chunke\u0064",
                        "c hunked",
                        "x");
        List<String> chosen = new ArrayList<>();
        choices.forEach(choice -> chosen.add(elements.get(choice)));
        String values = String.join(severalFields ? "|" : ",", chosen);
        boolean isChunked = chosen.size() == 1 && chosen.get(0).strip().equalsIgnoreCase("chunked");
        Result result = ofRequest("1.1", fields("Transfer-Encoding", values));
        assertEquals(isChunked, result == Result.CLEAR, values);
    }

    private static Result ofRequest(String version, String fields) {
        return of(
                new EmbeddedChannel(new StrictRequestDecoder(MAX_BYTES, MAX_BYTES, MAX_BYTES)),
                "POST /x HTTP/" + version + "\r\nHost: h\r\n" + fields + "\r\n");
    }

    private static Result ofResponse(String version, String fields) {
        return of(
                new EmbeddedChannel(new StrictResponseDecoder(MAX_BYTES, MAX_BYTES, MAX_BYTES)),
                "HTTP/" + version + " 200 OK\r\n" + fields + "\r\n");
    }

    /** A head that the decoder itself rejects is not taken for a message either. */
    private static Result of(EmbeddedChannel decoder, String head) {
        decoder.writeInbound(Unpooled.copiedBuffer(head, StandardCharsets.ISO_8859_1));
        HttpMessage message = decoder.readInbound();
        Result result =
                message.decoderResult().isFailure() ? Result.AMBIGUOUS : MessageFraming.of(message);
        decoder.finishAndReleaseAll();
        return result;
    }
}
