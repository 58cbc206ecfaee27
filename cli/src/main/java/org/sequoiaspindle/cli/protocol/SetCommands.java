package org.sequoiaspindle.cli.protocol;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.sequoiaspindle.cli.coordination.ObjectFilter;
import org.sequoiaspindle.cli.coordination.Verdict;
import org.sequoiaspindle.cli.state.CommandResult;
import org.sequoiaspindle.cli.state.ConfigurationInForce;
import org.sequoiaspindle.cli.state.ExitCode;
import org.sequoiaspindle.cli.state.Report;
import org.sequoiaspindle.core.coordination.configuration.ConfigurationDiff;
import org.sequoiaspindle.core.coordination.configuration.ObjectKind;
import org.sequoiaspindle.core.state.ObjectSet;

/** Commands that check a file or read what is in force. */
public final class SetCommands {

    private static final String CONFIGURATION = "/v1/configuration";

    private SetCommands() {}

    /** Checks a file without asking an instance. */
    public static CommandResult validate(String file) {
        return SetFile.read(file)
                .map(set -> CommandResult.done(new Report.Checked(file, Vector.empty())))
                .fold(failure -> failure, result -> result);
    }

    /** Asks which generation is in force on each instance. */
    public static CommandResult status(InstanceSession session) {
        return ReadFailure.orAnswer(session.read("/v1/status"), ReplyReader::status)
                .map(
                        status -> {
                            boolean same = Verdict.sameGeneration(status);
                            return new CommandResult(
                                    same ? ExitCode.DONE : ExitCode.CONFLICT,
                                    new Report.Status(status, same));
                        })
                .fold(failure -> failure, result -> result);
    }

    /** Shows the objects in force, all or those of a kind or one. */
    public static CommandResult show(
            InstanceSession session, Option<ObjectKind<?>> kind, Option<String> name) {
        return inForce(session)
                .flatMap(configuration -> shown(configuration, kind, name))
                .fold(failure -> failure, result -> result);
    }

    /** Compares a file with what is in force. */
    public static CommandResult diff(InstanceSession session, String file) {
        Either<CommandResult, ObjectSet> wanted = SetFile.read(file);
        return wanted.flatMap(set -> inForce(session).map(held -> difference(held, file, set)))
                .fold(failure -> failure, result -> result);
    }

    private static Either<CommandResult, ConfigurationInForce> inForce(InstanceSession session) {
        return ReadFailure.orAnswer(session.read(CONFIGURATION), ReplyReader::configuration);
    }

    private static Either<CommandResult, CommandResult> shown(
            ConfigurationInForce held, Option<ObjectKind<?>> kind, Option<String> name) {
        ObjectSet selected = ObjectFilter.select(held.objects(), kind, name);
        return name.isDefined() && selected.equals(ObjectSet.empty())
                ? Either.left(
                        CommandResult.message(
                                ExitCode.USAGE,
                                "there is no %s among the %s in generation %d; list them with show"
                                        .formatted(
                                                name.get(), kind.get().name(), held.generation())))
                : Either.right(CommandResult.done(new Report.Objects(held.generation(), selected)));
    }

    private static CommandResult difference(
            ConfigurationInForce held, String file, ObjectSet wanted) {
        return CommandResult.done(
                new Report.Difference(
                        held.generation(),
                        file,
                        ConfigurationDiff.between(held.objects(), wanted)));
    }
}
