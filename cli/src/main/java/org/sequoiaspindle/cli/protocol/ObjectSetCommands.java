package org.sequoiaspindle.cli.protocol;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.sequoiaspindle.cli.coordination.ObjectFilter;
import org.sequoiaspindle.cli.coordination.ResultClassifier;
import org.sequoiaspindle.cli.state.ActiveObjectSet;
import org.sequoiaspindle.cli.state.CommandResult;
import org.sequoiaspindle.cli.state.ExitCode;
import org.sequoiaspindle.cli.state.Report;
import org.sequoiaspindle.core.coordination.configuration.ConfigurationDiff;
import org.sequoiaspindle.core.coordination.configuration.ObjectKind;
import org.sequoiaspindle.core.state.ObjectSet;

/** Commands that validate an object set file or read the active configuration. */
public final class ObjectSetCommands {

    private static final String CONFIGURATION_PATH = "/v1/configuration";

    private ObjectSetCommands() {}

    /** Validates a file locally, without contacting an instance. */
    public static CommandResult validate(String file) {
        return InputFile.readObjectSet(file)
                .map(set -> CommandResult.done(new Report.FileCheck(file, Vector.empty())))
                .fold(failure -> failure, result -> result);
    }

    /** Reads the active generation of each instance. */
    public static CommandResult status(InstanceSession session) {
        return CallFailures.parseOrFail(
                        session.read("/v1/status"), InstanceResponseParser::parseStatus)
                .map(
                        status -> {
                            boolean sameGeneration = ResultClassifier.allHaveSameGeneration(status);
                            return new CommandResult(
                                    sameGeneration ? ExitCode.DONE : ExitCode.CONFLICT,
                                    new Report.Status(status, sameGeneration));
                        })
                .fold(failure -> failure, result -> result);
    }

    /** Shows the active objects: all objects, the objects of one kind, or a single object. */
    public static CommandResult show(
            InstanceSession session, Option<ObjectKind<?>> kind, Option<String> name) {
        return readConfiguration(session)
                .flatMap(configuration -> selectObjects(configuration, kind, name))
                .fold(failure -> failure, result -> result);
    }

    /** Compares the object set in a file with the active configuration. */
    public static CommandResult diff(InstanceSession session, String file) {
        Either<CommandResult, ObjectSet> proposed = InputFile.readObjectSet(file);
        return proposed.flatMap(
                        set -> readConfiguration(session).map(active -> compare(active, file, set)))
                .fold(failure -> failure, result -> result);
    }

    private static Either<CommandResult, ActiveObjectSet> readConfiguration(
            InstanceSession session) {
        return CallFailures.parseOrFail(
                session.read(CONFIGURATION_PATH), InstanceResponseParser::parseConfiguration);
    }

    private static Either<CommandResult, CommandResult> selectObjects(
            ActiveObjectSet active, Option<ObjectKind<?>> kind, Option<String> name) {
        ObjectSet selected = ObjectFilter.select(active.objects(), kind, name);
        return name.isDefined() && selected.equals(ObjectSet.empty())
                ? Either.left(
                        CommandResult.message(
                                ExitCode.USAGE,
                                "there is no %s among the %s in generation %d; list them with show"
                                        .formatted(
                                                name.get(),
                                                kind.get().name(),
                                                active.generation())))
                : Either.right(
                        CommandResult.done(new Report.Objects(active.generation(), selected)));
    }

    private static CommandResult compare(ActiveObjectSet active, String file, ObjectSet proposed) {
        return CommandResult.done(
                new Report.Difference(
                        active.generation(),
                        file,
                        ConfigurationDiff.between(active.objects(), proposed)));
    }
}
