package grebewick;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.ArchConfiguration;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.library.dependencies.SliceAssignment;
import com.tngtech.archunit.library.dependencies.SliceIdentifier;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Which packages may depend on which. */
class ArchitectureTest {
    private static JavaClasses program;

    @BeforeAll
    static void readClassFiles() {
        // Names of other libraries' types are enough: none of them is read, which takes most of the time.
        ArchConfiguration.get().setResolveMissingDependenciesFromClassPath(false);
        program = new ClassFileImporter().withImportOption(new ImportOption.DoNotIncludeTests()).importPackages("grebewick");
    }

    @Test
    void packagesHaveNoCycles() {
        slices().assignedFrom(new ByPackage()).should().beFreeOfCycles().check(program);
    }

    @Test
    void theCoreDependsOnTheJdkAlone() {
        classes().that().resideInAPackage("grebewick.core..").should().onlyDependOnClassesThat()
            .resideInAnyPackage("grebewick.core..", "java..").check(program);
    }

    @Test
    void onlyTheCommandLineDependsOnTheSimulatorsAdapter() {
        noClasses().that().resideOutsideOfPackages("grebewick", "grebewick.benchlink..").should().dependOnClassesThat()
            .resideInAPackage("grebewick.benchlink..").check(program);
    }

    @Test
    void nothingButTheTrainingRunDependsOnTheLab() {
        noClasses().that().resideOutsideOfPackages("grebewick.lab..", "grebewick.lifecycle..").should()
            .dependOnClassesThat().resideInAPackage("grebewick.lab..").check(program);
    }

    /** One slice for each package, the root package among them. */
    private static final class ByPackage implements SliceAssignment {
        @Override
        public SliceIdentifier getIdentifierOf(JavaClass type) {
            return SliceIdentifier.of(type.getPackageName());
        }

        @Override
        public String getDescription() {
            return "packages";
        }
    }
}
