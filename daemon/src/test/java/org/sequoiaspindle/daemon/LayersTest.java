package org.sequoiaspindle.daemon;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition;

/** Guards against lower layers that depend on higher ones, in this module and in core. */
@AnalyzeClasses(
        packages = "org.sequoiaspindle",
        importOptions = ImportOption.DoNotIncludeTests.class)
final class LayersTest {

    @ArchTest
    void layersDependDownwardsOnly(JavaClasses classes) {
        layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .withOptionalLayers(true)
                .layer("transport")
                .definedBy("..daemon.transport..", "..core.transport..")
                .layer("protocol")
                .definedBy("..daemon.protocol..", "..core.protocol..")
                .layer("coordination")
                .definedBy("..daemon.coordination..", "..core.coordination..")
                .layer("state")
                .definedBy("..daemon.state..", "..core.state..")
                .whereLayer("transport")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("protocol")
                .mayOnlyBeAccessedByLayers("transport")
                .whereLayer("coordination")
                .mayOnlyBeAccessedByLayers("transport", "protocol")
                .whereLayer("state")
                .mayOnlyBeAccessedByLayers("transport", "protocol", "coordination")
                .check(classes);
    }

    @ArchTest
    void onlyTransportUsesSocketsAndFrameworks(JavaClasses classes) {
        ArchRuleDefinition.noClasses()
                .that()
                .resideInAnyPackage(
                        "..daemon.protocol..", "..daemon.coordination..", "..daemon.state..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io.netty.channel..",
                        "io.netty.bootstrap..",
                        "io.netty.handler..",
                        "io.micronaut..",
                        "reactor..",
                        "java.nio.channels..")
                .check(classes);
    }

    @ArchTest
    void decisionsUseNoCodecOrWallClock(JavaClasses classes) {
        ArchRuleDefinition.noClasses()
                .that()
                .resideInAPackage("..daemon.coordination..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.net..", "com.fasterxml..", "io.netty..", "java.time..")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .check(classes);
    }

    /** The parts of the forwarding path depend on each other only in the direction of a request. */
    @ArchTest
    void packagesOfTheForwardingPathHaveNoCycle(JavaClasses classes) {
        SlicesRuleDefinition.slices()
                .matching("..daemon.transport.forwarding.(*)..")
                .should()
                .beFreeOfCycles()
                .check(classes);
    }
}
