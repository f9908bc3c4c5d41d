import { type ConsolaInstance, createConsola, LogLevels } from 'consola'

/** @public */
export interface LoggerOptions {
  readonly format?: 'text' | 'json'
  readonly level?: 'error' | 'warn' | 'info' | 'debug'
  /** Fields that are added to every line. */
  readonly fields?: Readonly<Record<string, string>>
  readonly write?: (line: string) => void
}

/**
 * Creates the logger of a program. Lines are written to standard error.
 *
 * @param options - format, level and common fields
 * @returns a logger
 * @public
 */
export function createLogger ({
  format = 'text', level = 'info', fields = {}, write = (line) => { process.stderr.write(`${line}\n`) }
}: LoggerOptions = {}): ConsolaInstance {
  return createConsola({
    level: LogLevels[level],
    throttle: 0,
    reporters: [{
      log: ({ date, type, args }) => {
        const [message, extra] = args as [unknown, Readonly<Record<string, unknown>> | undefined]
        const line = { time: date.toISOString(), level: type, message: String(message), ...fields, ...extra }
        write(format === 'json' ? JSON.stringify(line) : formatText(line))
      }
    }]
  })
}

function formatText ({ time, level, message, ...rest }: Readonly<Record<string, unknown>>): string {
  const pairs = Object.entries(rest).map(([name, value]) => ` ${name}=${String(value)}`)
  return `${String(time)} ${String(level)} ${String(message)}${pairs.join('')}`
}
