import { defineConfig } from 'vitest/config'

const setupFiles = ['./vitest.setup.ts']
const timeouts = { testTimeout: 60_000, hookTimeout: 60_000 }

/** Tests that measure processes under pressure. They run after all others, one at a time. */
const PRESSURE_TESTS = 'platform/pressure/**/*.test.ts'

export default defineConfig({
  test: {
    projects: [
      {
        test: {
          name: 'main',
          include: ['platform/**/*.test.ts', 'packages/**/*.test.ts', 'apps/**/*.test.ts', 'standins/**/*.test.ts'],
          exclude: [PRESSURE_TESTS],
          setupFiles,
          ...timeouts,
          sequence: { groupOrder: 0 }
        }
      },
      {
        test: {
          name: 'pressure',
          include: [PRESSURE_TESTS],
          setupFiles,
          ...timeouts,
          poolOptions: { forks: { singleFork: true } },
          sequence: { groupOrder: 1 }
        }
      }
    ],
    // With four workers, a busy worker exceeded the 60 s within which it must respond to the runner.
    maxWorkers: 3,
    minWorkers: 1
  }
})
