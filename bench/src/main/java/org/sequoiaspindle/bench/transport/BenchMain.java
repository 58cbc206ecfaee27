package org.sequoiaspindle.bench.transport;

import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.io.IOException;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Entry point of the load test and experiment tool. */
public final class BenchMain {

    private static final int EXIT_USAGE = 2;
    private static final LinkedHashMap<String, Subcommand> SUBCOMMANDS =
            LinkedHashMap.of(
                    "policy", PolicyCommand::declare,
                    "overhead", OverheadCommand::declare,
                    "propagation", PropagationCommand::declare,
                    "capacity", CapacityCommand::declare);

    private BenchMain() {}

    /** Runs one subcommand and exits. */
    public static void main(String[] arguments) throws IOException {
        Option<Subcommand> subcommand =
                Vector.of(arguments).headOption().flatMap(name -> SUBCOMMANDS.get(name));
        if (subcommand.isEmpty()) {
            System.err.println(
                    "usage: bench "
                            + SUBCOMMANDS.keySet().mkString("|")
                            + " [options]; --help after a subcommand lists its options");
            System.exit(EXIT_USAGE);
        }
        OptionParser parser = new OptionParser();
        parser.accepts("help", "print this help").forHelp();
        Subcommand.Action action = subcommand.get().declare(parser);
        try {
            OptionSet options =
                    parser.parse(Vector.of(arguments).tail().toJavaArray(String[]::new));
            if (options.has("help")) {
                parser.printHelpOn(System.out);
                return;
            }
            action.run(options);
        } catch (OptionException e) {
            System.err.println(e.getMessage() + "; see --help");
            System.exit(EXIT_USAGE);
        }
        System.exit(0);
    }
}
