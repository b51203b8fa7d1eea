package org.borageproxy;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

/** Verifies the dependency rules between packages that {@code docs/ARCHITECTURE.md} describes. */
@AnalyzeClasses(packages = "org.borageproxy", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {

    private static final String ROOT = "org.borageproxy";

    @ArchTest
    static final ArchRule BASIC_PACKAGES_DEPEND_ONLY_ON_THE_JDK_AND_EACH_OTHER = classes()
            .that()
            .resideInAnyPackage(ROOT + ".vm", ROOT + ".time", ROOT + ".result")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage("java..", ROOT + ".vm", ROOT + ".time", ROOT + ".result");

    @ArchTest
    static final ArchRule DECISION_PACKAGES_DO_NO_INPUT_OR_OUTPUT = noClasses()
            .that()
            .resideInAnyPackage(
                    ROOT + ".tree",
                    ROOT + ".routing",
                    ROOT + ".key",
                    ROOT + ".lease",
                    ROOT + ".admission",
                    ROOT + ".scheduling",
                    ROOT + ".stream",
                    ROOT + ".buffer")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("io.vertx..", "io.netty..", "java.net..", "java.nio.file..");

    @ArchTest
    static final ArchRule STAND_INS_ARE_USED_ONLY_BY_ENTRY_POINTS_AND_BENCHMARKS = noClasses()
            .that()
            .resideOutsideOfPackages(
                    ROOT + ".standin..",
                    ROOT + ".server..",
                    ROOT + ".command..",
                    ROOT + ".experiment..",
                    ROOT + ".bench..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage(ROOT + ".standin..");

    @ArchTest
    static final ArchRule PLATFORM_IS_USED_ONLY_BY_COMMANDS = noClasses()
            .that()
            .resideOutsideOfPackages(ROOT + ".platform..", ROOT + ".command..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage(ROOT + ".platform..");

    @ArchTest
    static final ArchRule NO_CLASS_STARTS_A_PROCESS =
            noClasses().should().dependOnClassesThat().haveFullyQualifiedName("java.lang.ProcessBuilder");

    @ArchTest
    static final ArchRule VERTX_CLUSTERING_IS_NOT_USED = noClasses()
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "io.vertx.core.spi.cluster..", "io.vertx.core.eventbus..", "io.vertx.core.shareddata..");
}
