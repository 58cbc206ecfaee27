package org.sequoiaspindle.cli.protocol;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.sequoiaspindle.cli.coordination.StreamCheck;
import org.sequoiaspindle.cli.coordination.Verdict;
import org.sequoiaspindle.cli.protocol.InstanceReply.Broken;
import org.sequoiaspindle.cli.protocol.InstanceReply.NotConnected;
import org.sequoiaspindle.cli.protocol.InstanceReply.Replied;
import org.sequoiaspindle.cli.state.CommandResult;
import org.sequoiaspindle.cli.state.ExitCode;
import org.sequoiaspindle.cli.state.Report;
import org.sequoiaspindle.cli.state.RequestReport;
import org.sequoiaspindle.cli.state.StreamedToken;

/** Sends one request through a pipeline and checks the answer. */
public final class RequestCommand {

    private RequestCommand() {}

    /**
     * Arguments of a request.
     *
     * @param pipeline pipeline to call
     * @param input text that the first stage works on
     * @param maxTokens bound on the tokens of the answer
     * @param deadlineMs remaining milliseconds, absent for the pipeline's deadline
     * @param key idempotency key
     * @param stream whether tokens are wanted as they arrive
     */
    public record Arguments(
            String pipeline,
            String input,
            int maxTokens,
            Option<Integer> deadlineMs,
            Option<String> key,
            boolean stream) {}

    /** Runs the request; tokens of a streamed answer go to the consumer as they arrive. */
    public static CommandResult run(
            InstanceSession session, Arguments arguments, Consumer<StreamedToken> tokens) {
        AtomicReference<Reading> reading = new AtomicReference<>(Reading.start());
        InstanceReply reply =
                session.send(
                        request(session, arguments),
                        bytes -> reading.set(reading.get().feed(bytes, tokens)));
        return result(reply, reading.get().check());
    }

    private static InstanceRequest request(InstanceSession session, Arguments arguments) {
        Map<String, String> accept =
                LinkedHashMap.of(
                        "Accept", arguments.stream() ? "text/event-stream" : "application/json");
        Map<String, String> headers =
                accept.merge(header("Sequoia-Deadline-Ms", arguments.deadlineMs()))
                        .merge(header("Idempotency-Key", arguments.key()));
        String body =
                JsonNodeFactory.instance
                        .objectNode()
                        .put("input", arguments.input())
                        .put("maxTokens", arguments.maxTokens())
                        .toString();
        return new InstanceRequest(
                "POST",
                "/v1/pipelines/" + arguments.pipeline(),
                headers,
                body,
                session.credential());
    }

    private static Map<String, String> header(String name, Option<?> value) {
        return value.isEmpty()
                ? LinkedHashMap.empty()
                : LinkedHashMap.of(name, value.get().toString());
    }

    private static CommandResult result(InstanceReply reply, StreamCheck check) {
        if (reply instanceof NotConnected failed) {
            return ReadFailure.unreachable(failed);
        }
        if (reply instanceof Broken broken) {
            StreamCheck ended = check.atEnd().withFault("connection lost: " + broken.reason());
            return finished(ended.outcome(), check.nextPosition() > 0, ended.faults());
        }
        Replied replied = (Replied) reply;
        if (replied.eventStream()) {
            StreamCheck ended = check.atEnd();
            return finished(ended.outcome(), true, ended.faults());
        }
        return ReplyReader.request(replied.body())
                .map(report -> finished(Option.some(report), false, Vector.empty()))
                .getOrElse(
                        () ->
                                CommandResult.message(
                                        exitWithoutOutcome(replied.status()),
                                        ReadFailure.refusal(replied)));
    }

    /** Instances and load balancers refuse with these statuses before a stage is run. */
    private static ExitCode exitWithoutOutcome(int status) {
        return switch (status) {
            case 400, 401, 403, 404, 405, 413, 415, 429 -> ExitCode.NOT_RUN;
            default -> ExitCode.UNKNOWN;
        };
    }

    private static CommandResult finished(
            Option<RequestReport> report, boolean streamed, Vector<String> faults) {
        return new CommandResult(
                Verdict.of(report, faults), new Report.Request(report, streamed, faults));
    }

    /** State of reading an event stream, replaced with each chunk. */
    private record Reading(EventStreamParser parser, StreamCheck check) {

        static Reading start() {
            return new Reading(EventStreamParser.start(), StreamCheck.start());
        }

        Reading feed(byte[] bytes, Consumer<StreamedToken> tokens) {
            EventStreamParser.Step step = parser.feed(bytes);
            return new Reading(
                    step.parser(),
                    step.events().foldLeft(check, (c, event) -> accept(c, event, tokens)));
        }

        private static StreamCheck accept(
                StreamCheck check, EventStreamParser.Event event, Consumer<StreamedToken> tokens) {
            return switch (event.name()) {
                case "token" ->
                        ReplyReader.token(event.data())
                                .peek(tokens)
                                .map(check::afterToken)
                                .getOrElse(() -> check.withFault("unreadable token event"));
                case "outcome" ->
                        ReplyReader.request(event.data())
                                .map(check::afterOutcome)
                                .getOrElse(() -> check.withFault("unreadable outcome event"));
                default -> check;
            };
        }
    }
}
