package org.sequoiaspindle.core;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition;

/**
 * Checks that no layer depends on a higher layer and that the coordination layer does no I/O and
 * reads no wall clock.
 */
@AnalyzeClasses(
        packages = "org.sequoiaspindle.core",
        importOptions = ImportOption.DoNotIncludeTests.class)
final class LayersTest {

    @ArchTest
    void layersDependDownwardsOnly(JavaClasses classes) {
        layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .withOptionalLayers(true)
                .layer("transport")
                .definedBy("..core.transport..")
                .layer("protocol")
                .definedBy("..core.protocol..")
                .layer("coordination")
                .definedBy("..core.coordination..")
                .layer("state")
                .definedBy("..core.state..")
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
    void decisionsUseNoSocketCodecOrWallClock(JavaClasses classes) {
        ArchRuleDefinition.noClasses()
                .that()
                .resideInAPackage("..core.coordination..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.net..",
                        "java.nio.channels..",
                        "com.fasterxml..",
                        "org.msgpack..",
                        "io.micronaut..",
                        "java.time..")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .allowEmptyShould(true)
                .check(classes);
    }

    /** The decisions on the forwarding path depend on each other in one direction. */
    @ArchTest
    void packagesOfTheForwardingDecisionsHaveNoCycle(JavaClasses classes) {
        SlicesRuleDefinition.slices()
                .matching("..core.coordination.forwarding.(*)..")
                .should()
                .beFreeOfCycles()
                .check(classes);
    }
}
