package org.sequoiaspindle.standins.transport;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.sequoiaspindle.standins.protocol.StandinJson;
import org.sequoiaspindle.standins.state.CallerOptions;
import org.sequoiaspindle.standins.state.EngineOptions;
import org.sequoiaspindle.standins.state.LinkOptions;
import org.sequoiaspindle.standins.state.OptionValues;
import org.sequoiaspindle.standins.state.PlatformOptions;
import org.sequoiaspindle.standins.state.RepeatedAnswers;
import org.sequoiaspindle.standins.state.ServiceOptions;

/**
 * Runs one stand-in as a process. Prints one line of JSON on standard output when the stand-in is
 * ready, then runs until the process is terminated.
 */
public final class StandinMain {

    /**
     * Names of the options of a subcommand, and the function that starts the stand-in and returns
     * the fields to add to the ready line.
     */
    private record Subcommand(
            Set<String> optionNames, Function<OptionValues, Map<String, Object>> start) {}

    private static final int EXIT_USAGE = 2;

    /** The only stand-in that ends by itself. */
    private static final String CALLERS = "callers";

    private static final Map<String, Subcommand> SUBCOMMANDS =
            new TreeMap<>(
                    Map.of(
                            "platform",
                            new Subcommand(
                                    PlatformOptions.OPTION_NAMES,
                                    optionValues ->
                                            addressOf(
                                                    PlatformServer.start(
                                                            PlatformOptions.from(optionValues)))),
                            "engine",
                            new Subcommand(
                                    EngineOptions.optionNames(),
                                    optionValues ->
                                            addressOf(
                                                    EngineServer.start(
                                                            EngineOptions.from(optionValues)))),
                            "service",
                            new Subcommand(
                                    ServiceOptions.optionNames(),
                                    optionValues ->
                                            addressOf(
                                                    ServiceServer.start(
                                                            ServiceOptions.from(optionValues)))),
                            "users-platform",
                            new Subcommand(
                                    withPort(RepeatedAnswers.OPTION_NAMES),
                                    optionValues ->
                                            addressOf(
                                                    UsersPlatformServer.start(
                                                            optionValues.intValue("port", 0),
                                                            RepeatedAnswers.from(optionValues)))),
                            CALLERS,
                            new Subcommand(
                                    CallerOptions.OPTION_NAMES,
                                    optionValues ->
                                            CallerLoad.run(CallerOptions.from(optionValues))),
                            "link",
                            new Subcommand(LinkOptions.OPTION_NAMES, StandinMain::startLink),
                            "fleet",
                            new Subcommand(Set.of("file"), StandinMain::startFleet)));

    private StandinMain() {}

    /** Starts the stand-in named by the first argument with the options that follow. */
    public static void main(String[] arguments) {
        System.setProperty("log4j2.configurationFile", "classpath:standin-log4j2.xml");
        if (arguments.length == 0 || !SUBCOMMANDS.containsKey(arguments[0])) {
            exitWithUsageError(usage());
            return;
        }
        Subcommand subcommand = SUBCOMMANDS.get(arguments[0]);
        Map<String, Object> readyLine = new LinkedHashMap<>();
        readyLine.put("ready", true);
        readyLine.put("role", arguments[0]);
        try {
            OptionValues optionValues =
                    parse(subcommand, Arrays.asList(arguments).subList(1, arguments.length));
            readyLine.putAll(subcommand.start.apply(optionValues));
        } catch (OptionException | IllegalArgumentException | UncheckedIOException e) {
            exitWithUsageError(e.getMessage());
            return;
        }
        System.out.println(StandinJson.write(readyLine));
        System.out.flush();
        if (arguments[0].equals(CALLERS)) {
            System.exit(0);
        }
        // The event loops are daemon threads, so the main thread keeps the process alive.
        new CompletableFuture<Void>().join();
    }

    private static Set<String> withPort(Set<String> optionNames) {
        Set<String> names = new TreeSet<>(optionNames);
        names.add("port");
        return names;
    }

    private static Map<String, Object> addressOf(StandinServer server) {
        return Map.of("address", server.address());
    }

    private static Map<String, Object> startLink(OptionValues optionValues) {
        LinkProxy link = LinkProxy.start(LinkOptions.from(optionValues));
        Map<String, Object> addresses = new LinkedHashMap<>();
        addresses.put("address", link.address());
        addresses.put("admin", link.adminAddress());
        return addresses;
    }

    private static Map<String, Object> startFleet(OptionValues optionValues) {
        try {
            String definition = Files.readString(Path.of(optionValues.stringValue("file", "")));
            return Map.of("endpoints", EndpointFleet.start(definition).addresses());
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read the fleet file: " + e, e);
        }
    }

    private static OptionValues parse(Subcommand subcommand, List<String> arguments) {
        OptionParser parser = new OptionParser();
        subcommand.optionNames.forEach(name -> parser.accepts(name).withRequiredArg());
        OptionSet options = parser.parse(arguments.toArray(String[]::new));
        if (!options.nonOptionArguments().isEmpty()) {
            throw new IllegalArgumentException(
                    "unexpected arguments " + options.nonOptionArguments());
        }
        Map<String, String> values = new HashMap<>();
        subcommand.optionNames.stream()
                .filter(options::has)
                .forEach(name -> values.put(name, options.valueOf(name).toString()));
        return new OptionValues(values);
    }

    private static String usage() {
        StringBuilder usage = new StringBuilder("usage: standin ROLE [--OPTION VALUE]...\n");
        SUBCOMMANDS.forEach(
                (name, subcommand) ->
                        usage.append("  ")
                                .append(name)
                                .append(": --")
                                .append(String.join(" --", new TreeSet<>(subcommand.optionNames)))
                                .append('\n'));
        return usage.toString();
    }

    private static void exitWithUsageError(String reason) {
        System.err.println(reason);
        System.exit(EXIT_USAGE);
    }
}
