package org.sequoiaspindle.cli;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;

/** Guards against a lower layer that depends on a higher layer. */
@AnalyzeClasses(
        packages = "org.sequoiaspindle.cli",
        importOptions = ImportOption.DoNotIncludeTests.class)
final class LayersTest {

    @ArchTest
    void layersDependDownwardsOnly(JavaClasses classes) {
        layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .layer("transport")
                .definedBy("..cli.transport..")
                .layer("protocol")
                .definedBy("..cli.protocol..")
                .layer("coordination")
                .definedBy("..cli.coordination..")
                .layer("state")
                .definedBy("..cli.state..")
                .whereLayer("transport")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("protocol")
                .mayOnlyBeAccessedByLayers("transport")
                .whereLayer("coordination")
                .mayOnlyBeAccessedByLayers("transport", "protocol")
                .check(classes);
    }
}
