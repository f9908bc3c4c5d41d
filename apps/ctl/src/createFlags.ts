import { boolean, flag, option, type Type } from 'cmd-ts'
import { nameSetting, type Setting, settings } from './settings'

type Parser<Value> = ReturnType<typeof option<Type<string, Value>>>

/** In the environment, a flag without a value is set to `true` or `false`. */
const switchType: Type<boolean, boolean> = boolean

/**
 * @param setting - a setting with a value
 * @returns its parser, which gives undefined if the setting is absent and has no default
 * @internal
 */
export function createOption (setting: Setting): Parser<string | undefined> {
  const { flag: long, environment: env, description, value, required } = setting
  const decoder: Type<string, string | undefined> = {
    displayName: value!.name,
    async from (text) {
      if (value!.pattern.test(text)) return text
      throw new Error(`${nameSetting(setting)} ${value!.rule}, not "${text}"`)
    }
  }
  const shared = { long, env, description, type: decoder }
  return required === true ? option(shared) : option({ ...shared, defaultValue: () => setting.default })
}

/**
 * @param setting - a setting without a value
 * @returns its parser
 * @internal
 */
export function createSwitch ({ flag: long, environment: env, description }: Setting): ReturnType<typeof flag> {
  return flag({ long, env, description, type: switchType, defaultValue: () => false })
}

/** @internal */
export const jsonSwitch = createSwitch(settings.json)
