package org.agatestream.core

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.json.JsonElement

class SettingsTextTest :
    FunSpec({
        test("any JSON is valid where a JSON element is expected") {
            for (text in listOf("{}", "[1]", "3", "\"a\"", "{\"a\":{\"b\":[null]}} // comment")) {
                parseSettings(
                    JsonElement.serializer(),
                    "x",
                    text,
                ).shouldBeInstanceOf<ParsedSettings.Valid<JsonElement>>()
            }
        }

        test("the values of a map are checked, each under its name") {
            val serializer = MapSerializer(String.serializer(), ModelSetting.serializer())
            val parsed = parseSettings(serializer, "file", """{"a":{"maxTokens":1},"b":{"maxTokens":"1"},"c":[]}""")
            parsed.shouldBeInstanceOf<ParsedSettings.Invalid>().faults.map { it.field } shouldBe
                listOf("b.maxTokens", "c")
        }
    })
