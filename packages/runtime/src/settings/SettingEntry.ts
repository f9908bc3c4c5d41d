import type { z } from 'zod'

/** One setting of a program, given by a flag or an environment variable. @public */
export interface SettingEntry<Value = unknown> {
  /** Name of the flag, without the leading dashes. */
  readonly flag: string
  readonly env: string
  readonly description: string
  /** Default in text form; without one the setting is required, unless it is `optional`. */
  readonly default?: string
  readonly optional?: boolean
  /** Whether the flag has no value. */
  readonly isSwitch?: boolean
  /** Validates the text form and converts it. */
  readonly schema: z.ZodType<Value, string>
}

/** The settings of a program by their names in its code. @public */
export type SettingsTable = Readonly<Record<string, SettingEntry>>

/** Validated values of a settings table; optional settings that are not set are undefined. @public */
export type SettingValues<Table extends SettingsTable> = {
  readonly [Name in keyof Table]: Table[Name] extends SettingEntry<infer Value>
    ? Table[Name]['optional'] extends true ? Value | undefined : Value
    : never
}

/**
 * Defines a settings table with its literal types.
 *
 * @param table - the table
 * @returns the same table
 * @public
 */
export function defineSettings<const Table extends SettingsTable> (table: Table): Table {
  return table
}
